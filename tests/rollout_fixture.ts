import { createRandom, VirtualClock } from "../clock/mod.ts";
import {
  toBackendId,
  toIncarnation,
  toInstanceId,
  toRegionId,
  toRolloutId,
  toServerVersion,
} from "../ids/mod.ts";
import {
  type EvidenceRow,
  type RolloutOrder,
  type RolloutRecord,
  type RolloutReport,
  RolloutTracker,
  type VersionedServer,
} from "../rollouts/mod.ts";

export const V1 = toServerVersion("v1");
export const V2 = toServerVersion("v2");
export const V3 = toServerVersion("v3");
export const REGION = toRegionId("north");
export const BOUNDS = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
  contactMs: 6_000,
};
const NO_SUMS = { count: 0, sum: 0, squares: 0, slow: 0 };

/** Returns servers of a version, warm and ready. */
export function createServers(
  version = V1,
  count = 4,
  region = REGION,
): readonly VersionedServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: toBackendId(`${version}-${region}-${index}`),
    service: "app",
    region,
    version,
    isReady: true,
    coldUntilMs: 0,
  }));
}

/** Returns an order for `v2`. */
export function createOrder(
  revision = 10,
  destination = V2,
): RolloutOrder {
  const id = toRolloutId(`0.${revision}`);
  return { id, service: "app", destination, durationMs: 12_000 };
}

/** Returns evidence of a route: durations around 100 ms, of a factor. */
export function createRow(
  subject: EvidenceRow["subject"],
  responses: number,
  failures = 0,
  factor = 1,
  route = "chat",
): EvidenceRow {
  const count = responses - failures;
  const log = Math.log(100 * factor);
  return {
    route,
    subject,
    responses,
    failures,
    firstByte: { count, sum: count * log, squares: count * log * log, slow: 0 },
    gap: NO_SUMS,
  };
}

/** Returns a report of the order for `v2`. */
export function createReport(
  changes: Partial<RolloutReport> = {},
): RolloutReport {
  return {
    id: createOrder().id,
    service: "app",
    phase: "trial",
    isBad: false,
    previousCalls: 0,
    evidence: [],
    ...changes,
  };
}

/** Returns the origin of a report of another instance. */
export function createOrigin(name = "i1") {
  return {
    instance: toInstanceId(name),
    incarnation: toIncarnation("1"),
    region: REGION,
    scope: "instance" as const,
  };
}

/** A tracker in a fleet of one or more instances, in front of a store of one record. */
export class TrackerBed {
  readonly clock = new VirtualClock();
  readonly tracker: RolloutTracker;
  readonly events: string[] = [];
  isInTouch = true;
  record: RolloutRecord | undefined;

  constructor(instanceCount = 1, seed = 1) {
    const members = Array.from(
      { length: instanceCount },
      (_, index) => ({ instance: toInstanceId(`i${index}`), region: REGION }),
    );
    this.tracker = new RolloutTracker({
      clock: this.clock,
      random: createRandom(seed),
      bounds: BOUNDS,
      fleet: {
        instance: toInstanceId("i0"),
        incarnation: toIncarnation("0"),
        region: REGION,
        listMembers: () => members,
        isInTouch: () => this.isInTouch,
      },
      onEvent: ({ kind }) => this.events.push(kind),
    });
  }

  /** Registers servers of `v1` and `v2`, orders `v2` and follows the store until its trial. */
  begin(servers = [...createServers(V1), ...createServers(V2)]): void {
    this.tracker.applyServers(
      servers.filter(({ version }) => version === V1),
    );
    this.advance(2_500);
    this.tracker.applyServers(servers);
    this.tracker.applyOrder("app", createOrder());
    this.advance(100);
  }

  /** Advances the clock and writes what the tracker plans. */
  advance(durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      this.clock.advanceSync(50);
      this.tracker.planWrites(this.clock.nowMs(), 0).forEach((record) => {
        this.record = record;
        this.tracker.applyRecord(record);
      });
    }
  }

  /** Assigns a call and returns the server that it is sent to, if any is allowed. */
  choose(
    servers: readonly VersionedServer[],
    changes: { isFirstSend?: boolean; mustUse?: typeof V1 } = {},
  ): VersionedServer | undefined {
    const assignment = this.tracker.assign({
      service: "app",
      region: REGION,
      isFirstSend: true,
      ...changes,
    });
    return servers.find((each) => this.tracker.isAllowed(assignment, each));
  }

  /** Sends calls of which those at `v2` end with the outcome; returns how many went there. */
  sendCalls(
    count: number,
    servers: readonly VersionedServer[],
    isBad: boolean,
  ): number {
    let newSends = 0;
    for (let index = 0; index < count; index++) {
      const server = this.choose(servers) ??
        this.choose(servers, { isFirstSend: false });
      if (server === undefined) continue;
      const isNew = server.version === V2;
      if (isNew) newSends++;
      this.tracker.beginSend({
        service: "app",
        server: server.id,
        route: "chat",
      }).end(
        isNew && isBad
          ? { kind: "failed" }
          : { kind: "answered", firstByteMs: 100 },
      );
    }
    return newSends;
  }
}
