import { createRandom, scheduleEvery } from "../clock/mod.ts";
import { toVersionedServer } from "../forwarding/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import {
  type Incarnation,
  type RolloutId,
  toInstanceId,
  toRegionId,
  toServerVersion,
} from "../ids/mod.ts";
import {
  type RolloutBounds,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutRecord,
  type RolloutReportScope,
  RolloutTracker,
} from "../rollouts/mod.ts";
import type { VirtualFleet, VirtualFleetParts } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

/** Bounds of the deployment that has rollouts. */
export const BOUNDS: RolloutBounds = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
  contactMs: 6_000,
};
/** Service of the routes of `createRouteTable`. */
const SERVICE = "app";
/** Interval of reports within a region, and of the relays' decisions, in milliseconds. */
const REPORT_INTERVAL_MS = 150;
/** Rounds of reports within a region for each one between regions. */
const ROUNDS_BETWEEN_REGIONS = 2;
/** Instances of a region that follow the store, sum up its reports and talk to other regions. */
const RELAYS_PER_REGION = 2;
/** Largest region in which each instance reports to each other one. */
const MAX_DIRECT_REGION = 4;
/** Time until all instances know a change of the store, in milliseconds. */
const STORE_DELAY_MS = 60;
/** Silence after which an instance exposes no version any more, in milliseconds. */
const MAX_SILENCE_MS = 1_500;

/** Sizes and faults of a {@linkcode RolloutFleet}. */
export type RolloutFleetParts = Omit<
  VirtualFleetParts,
  "createRollouts" | "onServers" | "version"
>;

/**
 * A fleet whose trackers exchange reports and share a store, in the rhythm of real
 * instances. It stands for the wiring of the daemon, which may replace it.
 */
export class RolloutFleet {
  /** Phases that were recorded, with their times. */
  readonly phases: {
    readonly phase: RolloutPhase;
    readonly atMs: number;
    readonly reason: string | undefined;
  }[] = [];
  /** Whether the store answers. */
  isStoreUp = true;
  fleet!: VirtualFleet;
  readonly #parts: RolloutFleetParts;
  readonly #random = createRandom(23);
  readonly #trackers = new Map<string, RolloutTracker>();
  readonly #incarnations = new Map<string, number>();
  /** When an instance last heard another one, in milliseconds. */
  readonly #heardMs = new Map<string, number>();
  readonly #stopped = new AbortController();
  #record: RolloutRecord | undefined;
  #order: RolloutOrder | undefined;
  #rounds = 0;

  /** @param parts Sizes of the fleet, and behaviour of its servers and network. */
  constructor(parts: RolloutFleetParts) {
    this.#parts = parts;
  }

  /** Starts the instances and servers of version `v1`, which are recorded as in force. */
  async start(): Promise<VirtualFleet> {
    this.fleet = await startVirtualFleet({
      ...this.#parts,
      createRollouts: (address, clock) => this.#createTracker(address, clock),
      onServers: (address, gateway) => this.#applyServers(address, gateway),
    });
    scheduleEvery(
      this.fleet.clock,
      REPORT_INTERVAL_MS,
      () => this.#runRound(),
      this.#stopped.signal,
    );
    await this.fleet.clock.advance(2_000);
    return this.fleet;
  }

  /** Ends reports and decisions. */
  stop(): void {
    this.#stopped.abort("stopped");
  }

  /** Latest phase in the store. */
  get phase(): RolloutPhase | undefined {
    return this.#record?.order?.phase;
  }

  /** Writes an operator's order for version `v2`, or removes it. */
  order(durationMs: number | undefined): void {
    this.#order = durationMs === undefined ? undefined : {
      id: `0.${this.fleet.clock.nowMs()}` as RolloutId,
      service: SERVICE,
      destination: toServerVersion("v2"),
      durationMs,
    };
    this.#afterDelay((tracker) => tracker.applyOrder(SERVICE, this.#order));
  }

  /** Restarts an instance. It reads the store, or the copy that another instance has. */
  restart(address: string): void {
    this.fleet.start(address);
  }

  /** Addresses of all instances. */
  get addresses(): readonly string[] {
    return [...this.fleet.gateways.keys()];
  }

  #createTracker(
    address: string,
    clock: VirtualFleet["clock"],
  ): RolloutTracker {
    const incarnation = 1 + (this.#incarnations.get(address) ?? 0);
    this.#incarnations.set(address, incarnation);
    this.#heardMs.set(address, clock.nowMs());
    const tracker = new RolloutTracker({
      clock,
      random: createRandom(incarnation * 1_000 + this.#incarnations.size),
      bounds: BOUNDS,
      fleet: {
        ...this.#identify(address),
        listMembers: () => this.addresses.map((each) => this.#identify(each)),
        isInTouch: (nowMs) =>
          this.addresses.length === 1 ||
          nowMs - this.#heardMs.get(address)! < MAX_SILENCE_MS,
      },
    });
    if (this.#record !== undefined) tracker.applyRecord(this.#record);
    if (incarnation > 1) tracker.applyOrder(SERVICE, this.#order);
    this.#trackers.set(address, tracker);
    return tracker;
  }

  #identify(address: string) {
    return {
      instance: toInstanceId(address),
      incarnation: String(
        this.#incarnations.get(address) ?? 0,
      ) as Incarnation,
      region: toRegionId(readRegion(address)),
    };
  }

  #applyServers(address: string, { registry }: HttpGateway): void {
    this.#trackers.get(address)!.applyServers(
      registry.servers.map((server) => ({
        ...toVersionedServer(server, server.entry.version!),
        isReady: registry.isUsable(server.entry.id),
      })),
    );
  }

  #runRound(): void {
    const regions = groupBy(this.addresses, readRegion);
    const relays = [...regions.values()]
      .map((members) => members.slice(0, RELAYS_PER_REGION));
    regions.forEach((members) => this.#reportWithin(members));
    if (this.#rounds++ % ROUNDS_BETWEEN_REGIONS === 0) {
      relays.forEach((own) => {
        const others = relays.filter((each) => each !== own).flat();
        own.forEach((from) => this.#report(from, others, "region"));
      });
    }
    if (this.isStoreUp) this.#decide(relays.flat());
  }

  #reportWithin(members: readonly string[]): void {
    if (members.length <= MAX_DIRECT_REGION) {
      members.forEach((from) => this.#report(from, members, "instance"));
      return;
    }
    const aggregators = members.slice(0, RELAYS_PER_REGION);
    members.forEach((from) => this.#report(from, aggregators, "instance"));
    aggregators.forEach((from) =>
      this.#report(from, members.slice(RELAYS_PER_REGION), "summary")
    );
  }

  #report(
    from: string,
    receivers: readonly string[],
    scope: RolloutReportScope,
  ): void {
    const { isCut, lostShare = 0 } = this.#parts;
    const reports = this.#trackers.get(from)!.createReports(scope);
    const origin = { ...this.#identify(from), scope };
    const { clock } = this.fleet;
    receivers.filter((to) => to !== from).forEach((to) => {
      const isLost = this.#random.nextFloat() < lostShare || isCut?.(from, to);
      if (isLost) return;
      const delayMs = readRegion(from) === readRegion(to) ? 2 : 55;
      clock.schedule(delayMs, () => {
        this.#heardMs.set(to, clock.nowMs());
        this.#trackers.get(to)!.mergeReports(origin, reports);
      });
    });
  }

  #decide(relays: readonly string[]): void {
    const nowMs = this.fleet.clock.nowMs();
    relays.forEach((address, rank) =>
      this.#trackers.get(address)!.planWrites(nowMs, rank)
        .forEach((record) => this.#write(record))
    );
  }

  /** Writes a record unless another one was written since its writer read the store. */
  #write(record: RolloutRecord): void {
    const next = 1 + (this.#record?.sequence ?? 0);
    if (record.sequence !== next) return;
    const { order } = record;
    if (order !== undefined && order.phase !== this.phase) {
      const { phase, reason } = order;
      const atMs = this.fleet.clock.nowMs();
      this.phases.push({ phase, reason, atMs });
    }
    this.#record = record;
    this.#afterDelay((tracker) => {
      if (this.#record === record) tracker.applyRecord(record);
    });
  }

  #afterDelay(apply: (tracker: RolloutTracker) => void): void {
    this.fleet.clock.schedule(STORE_DELAY_MS, () => {
      this.#trackers.forEach(apply);
    });
  }
}

/** Returns values by their keys. */
export function groupBy<Value>(
  values: readonly Value[],
  readKey: (value: Value) => string,
): ReadonlyMap<string, readonly Value[]> {
  const groups = new Map<string, Value[]>();
  values.forEach((value) => {
    const key = readKey(value);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [value]);
    else group.push(value);
  });
  return groups;
}

function readRegion(address: string): string {
  return address.split("-")[0]!;
}
