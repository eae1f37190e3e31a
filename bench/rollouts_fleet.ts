import { createRandom, type Random, VirtualClock } from "../clock/mod.ts";
import {
  type RegionId,
  toIncarnation,
  toInstanceId,
  toRolloutId,
  toServerVersion,
} from "../ids/mod.ts";
import {
  type RolloutOrder,
  type RolloutRecord,
  RolloutTracker,
} from "../rollouts/mod.ts";
import { ROUTES, type SimServer, SimServers } from "./rollouts_servers.ts";
import {
  REGIONS,
  type RolloutCase,
  type RolloutResult,
  type SimInstance,
} from "./rollouts_case.ts";
import { SimReports } from "./rollouts_reports.ts";

const TICK_MS = 10;
const ORDER_AT_MS = 3_000;
const DURATION_MS = 12_000;
/** Time after the deadline in which an order may still end, in milliseconds. */
const EXTRA_MS = 3_000;
const REPORT_MS = 150;
const REGION_REPORT_MS = 300;
/** Shares of the reports that are lost. */
const USUAL_LOSS = 0.01;
const HIGH_LOSS = 0.3;
const STORE_DELAY_MS = 30;
const PLAN_MS = 50;
const OLD = toServerVersion("v1");
const NEW = toServerVersion("v2");
const BOUNDS = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
  contactMs: 6_000,
};

/** Trackers of a fleet with simulated servers, store and reports, on a virtual clock. */
export class RolloutFleetSim {
  readonly clock = new VirtualClock();
  readonly instances: SimInstance[];
  readonly #case: RolloutCase;
  readonly #random: Random;
  readonly #servers: SimServers;
  readonly #startMs: number;
  #order: RolloutOrder | undefined;
  #record: RolloutRecord | undefined;
  #revision = 0;
  #sends = 0;
  #newSends = 0;
  #badResponses = 0;
  #fiftiethMs: number | undefined;
  #lastNewSendMs = 0;
  #endMs = 0;
  #previousCalls = 0;
  readonly #reports: SimReports;

  constructor(parts: RolloutCase) {
    this.#case = parts;
    this.#random = createRandom(parts.seed * 7919 + 13);
    this.#startMs = this.clock.nowMs();
    const servers = REGIONS.length * parts.serversPerRegion;
    this.#servers = new SimServers({
      random: this.#random,
      kind: parts.kind,
      fault: parts.fault,
      usualInFlight: parts.callsPerSecond * 0.25 / servers,
    });
    this.#servers.start(OLD, REGIONS, parts.serversPerRegion, 0, false);
    this.instances = Array.from({ length: parts.instances }, (_, index) => {
      const instance = {
        id: toInstanceId(`i${index}`),
        region: REGIONS[index % REGIONS.length]!,
        rank: Math.floor(index / REGIONS.length),
        incarnation: 0,
        heardMs: this.clock.nowMs(),
        viewRevision: 0,
      } as SimInstance;
      instance.tracker = this.#createTracker(instance);
      return instance;
    });
    this.#reports = new SimReports(
      this.instances,
      this.clock,
      this.#random,
      parts.fault === "reports-lost" ? HIGH_LOSS : USUAL_LOSS,
    );
    this.#every(TICK_MS, () => this.#sendCalls());
    this.#every(REPORT_MS, () => this.#reports.sendLocally());
    this.#every(REGION_REPORT_MS, () => this.#reports.sendRegions());
    this.#every(PLAN_MS, () => this.#planWrites());
    this.#every(REPORT_MS, () => this.#publish());
  }

  /** Runs the order to its end. */
  run(): RolloutResult {
    this.#publish();
    this.clock.advanceSync(ORDER_AT_MS);
    this.#servers.start(
      NEW,
      REGIONS,
      this.#case.serversPerRegion,
      this.clock.nowMs(),
      true,
    );
    this.#order = {
      id: toRolloutId("0.100"),
      service: "app",
      destination: NEW,
      durationMs: DURATION_MS,
    };
    this.#sends = 0;
    this.#scheduleFault();
    const orderedMs = this.clock.nowMs();
    while (
      this.clock.nowMs() - orderedMs < DURATION_MS + EXTRA_MS &&
      this.#endMs === 0
    ) this.clock.advanceSync(100);
    // A rollback is followed up to the deadline: sends after it count as exposure.
    if (this.#record?.order?.phase === "rolled-back") {
      const restMs = orderedMs + DURATION_MS - this.clock.nowMs();
      this.clock.advanceSync(Math.max(0, restMs));
    }
    const phase = this.#record?.order?.phase;
    const bound = BOUNDS.exposureShare * this.#sends + BOUNDS.exposureSlack;
    return {
      state: phase === "completed" || phase === "rolled-back"
        ? phase
        : "running",
      reason: this.#record?.order?.reason ?? "",
      endMs: this.#endMs === 0 ? Infinity : this.#endMs - orderedMs,
      exposureUsed: this.#newSends / bound,
      badResponses: this.#badResponses,
      rollbackMs: this.#fiftiethMs === undefined
        ? 0
        : Math.max(0, this.#lastNewSendMs - this.#fiftiethMs),
      previousCalls: this.#previousCalls,
    };
  }

  #createTracker(instance: SimInstance): RolloutTracker {
    const index = Number(instance.id.slice(1));
    return new RolloutTracker({
      clock: this.clock,
      random: createRandom(
        this.#case.seed * 104_729 + index * 31 + instance.incarnation * 7,
      ),
      bounds: BOUNDS,
      ...(this.#case.canaryTest === undefined
        ? {}
        : { canaryTest: this.#case.canaryTest }),
      fleet: {
        instance: instance.id,
        incarnation: toIncarnation(`${instance.incarnation}`),
        region: instance.region,
        listMembers: () =>
          this.instances.map(({ id, region }) => ({ instance: id, region })),
        isInTouch: (nowMs) => nowMs - instance.heardMs < 1_500,
      },
    });
  }

  #every(intervalMs: number, callback: () => void): void {
    const run = () => {
      callback();
      this.clock.schedule(intervalMs, run);
    };
    this.clock.schedule(intervalMs, run);
  }

  #scheduleFault(): void {
    const at = (ms: number, callback: () => void) =>
      this.clock.schedule(ms, callback);
    const restart = (instance: SimInstance) => {
      instance.incarnation++;
      instance.viewRevision = 0;
      instance.tracker = this.#createTracker(instance);
    };
    switch (this.#case.fault) {
      case "new-server-crashes":
        return at(4_000, () => this.#servers.crash(NEW, this.clock.nowMs()));
      case "old-server-crashes":
        return at(4_000, () => this.#servers.crash(OLD, this.clock.nowMs()));
      case "instances-restart":
        [2_000, 3_000, 4_000].forEach((ms, step) =>
          at(ms, () =>
            this.instances.filter((_, index) => index % 3 === step)
              .forEach(restart))
        );
        return;
      case "all-restart":
        return at(2_500, () => this.instances.forEach(restart));
      case "region-cut":
        at(3_000, () => this.#reports.cutRegion = REGIONS[2]);
        return at(5_500, () => this.#reports.cutRegion = undefined);
      default:
        return;
    }
  }

  /** Whether the store answers an instance now. */
  #hasStore({ region }: SimInstance): boolean {
    const sinceOrderMs = this.clock.nowMs() - this.#startMs - ORDER_AT_MS;
    const isDown = this.#case.fault === "store-down" &&
      sinceOrderMs > 3_000 && sinceOrderMs < 6_500;
    return !isDown && region !== this.#reports.cutRegion;
  }

  /** Passes the state of the store on to all instances that it reaches. */
  #publish(): void {
    const nowMs = this.clock.nowMs();
    const entries = this.#servers.servers
      .filter(({ downUntilMs }) => downUntilMs <= nowMs)
      .map(({ entry }) => entry);
    this.instances.filter((instance) => this.#hasStore(instance))
      .forEach((instance) => {
        instance.tracker.applyServers(entries);
        instance.tracker.applyOrder("app", this.#order);
        if (this.#record !== undefined) {
          instance.tracker.applyRecord(this.#record);
        }
        instance.viewRevision = this.#revision;
      });
  }

  #planWrites(): void {
    const nowMs = this.clock.nowMs();
    this.instances.filter(({ rank }) => rank < 2).forEach((instance) => {
      if (!this.#hasStore(instance)) return;
      const { viewRevision } = instance;
      instance.tracker.planWrites(nowMs, instance.rank).forEach((record) =>
        this.clock.schedule(STORE_DELAY_MS, () => {
          if (viewRevision !== this.#revision) return;
          this.#revision++;
          this.#record = record;
          const phase = record.order?.phase;
          if (phase === "completed" || phase === "rolled-back") {
            this.#endMs = this.clock.nowMs();
            this.#previousCalls = this.#servers.servers
              .filter(({ entry }) => entry.version === OLD)
              .reduce((sum, { inFlight }) => sum + inFlight, 0);
          }
          this.clock.schedule(STORE_DELAY_MS, () => this.#publish());
        })
      );
    });
  }

  #sendCalls(): void {
    const expected = this.#case.callsPerSecond * TICK_MS / 1_000;
    let count = Math.floor(expected + this.#random.nextFloat());
    while (count-- > 0) {
      const index = Math.floor(
        this.#random.nextFloat() * this.instances.length,
      );
      this.#send(this.instances[index]!, this.#drawRoute(), true);
    }
  }

  #drawRoute(): number {
    let rest = this.#random.nextFloat();
    const found = ROUTES.findIndex(({ share }) => (rest -= share) < 0);
    return found < 0 ? 0 : found;
  }

  #send(instance: SimInstance, routeIndex: number, isFirstSend: boolean): void {
    const route = ROUTES[routeIndex]!.name;
    const { region, tracker } = instance;
    // Two thirds of the calls share one of a few prompt parts.
    const part = Math.floor(this.#random.nextFloat() * 60);
    const call = {
      service: "app",
      region,
      route,
      isFirstSend,
      ...(part < 40 ? { affinityKey: `part-${part}` } : {}),
    };
    const server = this.#choose(tracker, tracker.assign(call), region) ??
      (isFirstSend
        ? this.#choose(
          tracker,
          tracker.assign({ ...call, isFirstSend: false }),
          region,
        )
        : undefined);
    if (server === undefined) return;
    const nowMs = this.clock.nowMs();
    const isNew = server.entry.version === NEW;
    const hasCompleted = this.#record?.order?.phase === "completed";
    this.#sends++;
    if (isNew && !hasCompleted) {
      this.#newSends++;
      this.#lastNewSendMs = nowMs;
    }
    const send = tracker.beginSend({
      service: "app",
      server: server.entry.id,
      route,
    });
    server.inFlight++;
    const { durationMs, outcome } = this.#servers
      .run(server, routeIndex, nowMs, isNew);
    this.clock.schedule(durationMs, () => {
      server.inFlight--;
      send.end(outcome);
      if (outcome.kind !== "failed") return;
      if (isNew && ++this.#badResponses === 50) {
        this.#fiftiethMs = this.clock.nowMs();
      }
      if (isFirstSend) this.#send(instance, routeIndex, false);
    });
  }

  /** Chooses the allowed server with the least load in the region. */
  #choose(
    tracker: RolloutTracker,
    assignment: ReturnType<RolloutTracker["assign"]>,
    region: RegionId,
  ): SimServer | undefined {
    const nowMs = this.clock.nowMs();
    let best: SimServer | undefined;
    let bestLoad = Infinity;
    for (const server of this.#servers.servers) {
      if (server.entry.region !== region) continue;
      const load = (server.inFlight + 1) / server.speed;
      if (load >= bestLoad || !this.#servers.hasCapacity(server, nowMs)) {
        continue;
      }
      // A crashed server is known to be gone only once its entry has expired.
      if (!tracker.isAllowed(assignment, server.entry)) continue;
      best = server;
      bestLoad = load;
    }
    return best;
  }
}
