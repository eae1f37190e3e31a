import {
  FleetLimits,
  type RegionInstanceCount,
  type RegionTeamUsage,
  type ReportedTeamUsage,
} from "../admission/mod.ts";
import { createRandom } from "../clock/mod.ts";
import type { Team, TeamLimit } from "../teams/mod.ts";
import {
  type LimitArrival,
  LIMITED_TEAM,
  type LimitFleet,
  type LimitFleetParts,
  REGIONS,
  toRegionIndex,
} from "./limit_fleet.ts";

/** Time until a report of the local region is known, in milliseconds. */
const LOCAL_REPORT_DELAY_MS = 300;
/** Time until a report of a remote region is known, in milliseconds. */
const REMOTE_REPORT_DELAY_MS = 600;
/** Silence after which an instance of the local region counts as dead, in milliseconds. */
const LOCAL_TIMEOUT_MS = 1_200;
/** Silence after which an instance of a remote region counts as dead, in milliseconds. */
const REMOTE_TIMEOUT_MS = 2_500;

interface SentReport {
  readonly atMs: number;
  readonly usage: ReportedTeamUsage | undefined;
}

/** Fleet whose instances report sums of usage to each other, as the gateway does. */
export class SumsFleet implements LimitFleet {
  sent = 0;
  readonly #parts: LimitFleetParts;
  readonly #instances: {
    limits: FleetLimits;
    readonly lastReceivedMs: number[];
    /** Instances that count as live since the last tick. */
    live: ReadonlySet<number>;
  }[];
  /** Reports that each instance sent, newest last. */
  readonly #sentReports: SentReport[][];
  #limit: TeamLimit;
  #nowMs = 0;

  /** @param parts Size of the fleet, and which instances receive each other's reports. */
  constructor(parts: LimitFleetParts) {
    this.#parts = parts;
    this.#limit = parts.limit;
    const indices = Array.from({ length: parts.instances }, (_, at) => at);
    this.#sentReports = indices.map(() => []);
    this.#instances = indices.map((at) => ({
      limits: this.#createLimits(at, -60_000),
      lastReceivedMs: indices.map(() => 0),
      live: new Set<number>(),
    }));
    indices.forEach((at) => this.#updateCounts(at, 0));
  }

  admit({ atMs, instance, weight }: LimitArrival): boolean {
    this.#nowMs = atMs;
    const team: Team = {
      id: LIMITED_TEAM,
      priority: undefined,
      homeRegions: undefined,
      limit: this.#limit,
    };
    const { limits } = this.#instances[instance]!;
    return limits.admit(team, weight, atMs).kind === "admitted";
  }

  tick(nowMs: number): void {
    this.#nowMs = nowMs;
    this.#instances.forEach(({ limits }, at) => {
      if (this.#parts.isStalled(at, nowMs)) return;
      const [usage] = limits.listOwnUsage(nowMs);
      if (usage !== undefined) this.sent++;
      this.#sentReports[at]!.push({ atMs: nowMs, usage });
      if (this.#sentReports[at]!.length > 40) this.#sentReports[at]!.shift();
    });
    this.#instances.forEach((_, at) => {
      if (!this.#parts.isStalled(at, nowMs)) this.#updateCounts(at, nowMs);
    });
  }

  restart(instance: number, nowMs: number): void {
    this.#instances[instance]!.limits = this.#createLimits(instance, nowMs);
    this.#sentReports[instance] = [];
    this.#updateCounts(instance, nowMs);
  }

  setLimit(limit: TeamLimit): void {
    this.#limit = limit;
  }

  #createLimits(instance: number, startedMs: number): FleetLimits {
    return new FleetLimits({
      ownRegion: REGIONS[toRegionIndex(instance)]!,
      startedMs,
      random: createRandom(instance + 1),
      bounds: this.#parts.bounds,
      readUsageOfOthers: () => this.#readOthers(instance),
    });
  }

  #updateCounts(instance: number, nowMs: number): void {
    const state = this.#instances[instance]!;
    const { lastReceivedMs, limits } = state;
    const live = new Set<number>();
    const counts = REGIONS.map((region): RegionInstanceCount => ({
      region,
      known: 0,
      reporting: 0,
    })) as {
      region: RegionInstanceCount["region"];
      known: number;
      reporting: number;
    }[];
    lastReceivedMs.forEach((receivedMs, other) => {
      const isLocal = toRegionIndex(other) === toRegionIndex(instance);
      const isReachable = other === instance ||
        (this.#parts.isReachable(other, instance, nowMs) &&
          !this.#parts.isStalled(other, nowMs));
      if (isReachable) lastReceivedMs[other] = nowMs;
      const count = counts[toRegionIndex(other)]!;
      count.known++;
      const silentMs = nowMs - (isReachable ? nowMs : receivedMs);
      if (silentMs >= (isLocal ? LOCAL_TIMEOUT_MS : REMOTE_TIMEOUT_MS)) return;
      count.reporting++;
      live.add(other);
    });
    state.live = live;
    limits.setInstanceCounts(counts, this.#parts.instances, nowMs);
  }

  #readOthers(instance: number): readonly RegionTeamUsage[] {
    const nowMs = this.#nowMs;
    const { lastReceivedMs, live } = this.#instances[instance]!;
    return REGIONS.map((region, at) => {
      const isLocal = at === toRegionIndex(instance);
      const delayMs = isLocal ? LOCAL_REPORT_DELAY_MS : REMOTE_REPORT_DELAY_MS;
      let used = 0;
      let demand = 0;
      for (
        let other = at;
        other < lastReceivedMs.length;
        other += REGIONS.length
      ) {
        if (other === instance || !live.has(other)) continue;
        // Only what the other instance sent up to the last contact with it is known.
        const usage = findLastReport(
          this.#sentReports[other]!,
          Math.min(
            nowMs - delayMs,
            lastReceivedMs[other]!,
          ),
        );
        used += usage?.used ?? 0;
        demand += usage?.demand ?? 0;
      }
      return { region, used, demand };
    });
  }
}

function findLastReport(
  reports: readonly SentReport[],
  untilMs: number,
): ReportedTeamUsage | undefined {
  for (let at = reports.length - 1; at >= 0; at--) {
    if (reports[at]!.atMs <= untilMs) return reports[at]!.usage;
  }
  return undefined;
}
