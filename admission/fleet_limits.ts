import { type Random, SlidingWindowCounter } from "../clock/mod.ts";
import type { RegionId, TeamId } from "../ids/mod.ts";
import type { Team, TeamLimit } from "../teams/mod.ts";

/** Usage beyond the limits of teams that a deployment tolerates. */
export interface LimitBounds {
  /** Length of the sliding window in which usage is compared with a limit, in milliseconds. */
  readonly windowMs: number;
  /** Fraction by which usage in a window may exceed what rate and burst grant. */
  readonly overshoot: number;
  /** Units that a window may hold in addition. */
  readonly slack: number;
}

/** Usage and demand of a team. */
export interface TeamUsage {
  /** Total weight of the calls that were admitted within the window. */
  readonly used: number;
  /** Total weight of all recent calls, admitted or not; each decays exponentially with its age. */
  readonly demand: number;
}

/** Usage of a team, as an instance reports it to others. */
export interface ReportedTeamUsage extends TeamUsage {
  readonly team: TeamId;
}

/** Usage of a team in one region, excluding that of this instance. */
export interface RegionTeamUsage extends TeamUsage {
  readonly region: RegionId;
}

/** Number of known instances of a region, and of those whose reports arrive. */
export interface RegionInstanceCount {
  readonly region: RegionId;
  /** Known instances, this one included. */
  readonly known: number;
  /** Instances whose reports arrive. */
  readonly reporting: number;
}

/** Decision on whether a call is within the limit of its team. */
export type LimitDecision =
  | { readonly kind: "admitted" }
  | {
    readonly kind: "refused";
    /** Time after which to retry, in milliseconds; `undefined`: the limit never admits it. */
    readonly retryAfterMs: number | undefined;
    /** Values that the decision is based on, for the log. */
    readonly inputs: Readonly<Record<string, number>>;
  };

/** Constructor arguments of {@linkcode FleetLimits}. */
export interface FleetLimitsParts {
  readonly ownRegion: RegionId;
  /** When this process started, by its own clock, in milliseconds. */
  readonly startedMs: number;
  readonly random: Random;
  readonly bounds: LimitBounds;
  /** Returns what other instances report of a team's usage, by region, the own region included. */
  readonly readUsageOfOthers: (team: TeamId) => readonly RegionTeamUsage[];
}

/**
 * Fraction of the window in which demand decays to about a third. It is short enough for
 * the value to follow changes of the demand.
 */
const DECAY_TIME_FRACTION = 1 / 5;
/**
 * Length of the sliding count, in windows. A window is counted in twenty buckets, the
 * newest of which is incomplete, so the count covers one bucket more.
 */
const SLIDING_COUNT_WINDOWS = 1 + 1 / 20;
/**
 * Fraction of the tolerated excess over rate and burst that the budget includes. The rest
 * covers calls that are admitted between two reports.
 */
const PLANNED_EXCESS_FRACTION = 0.2;
/** Time for which others may admit calls before this instance learns of them, in milliseconds. */
const REPORT_DELAY_MS = 1_200;
/** Minimum and maximum fraction, at the end of a budget, in which only some calls are admitted. */
const MIN_TAPERED_FRACTION = 0.03;
const MAX_TAPERED_FRACTION = 0.6;
/**
 * Maximum rate that is admitted for a second or two, as a multiple of the rate of the
 * limit. A team that is far over its limit is slowed down evenly instead of using up a
 * window and waiting for the next one.
 */
const MAX_RATE_FACTOR = 1.35;
/** Fraction of an equal share of the budget that a process assumes was used before its start. */
const PRIOR_USAGE_FRACTION = 0.9;
/**
 * Number of windows over which this assumed usage declines to zero. One window is too
 * short, since the usage need not have been spread evenly over it.
 */
const PRIOR_USAGE_WINDOWS = 1.25;
/** Fraction of an equal share of the budget below which an instance does not report a team. */
const MIN_REPORTED_FRACTION = 0.02;
/** Fraction of the budget that is added to the demand, in equal parts for all instances. */
const EVEN_DEMAND_FRACTION = 0.02;
/** Validity of the counts of reporting instances, in milliseconds: four report intervals. */
const COUNT_VALID_MS = 600;
/** Minimum time after which refused callers retry, in milliseconds. */
const MIN_RETRY_MS = 150;
/** Time that is added to the minimum where hardly any call is admitted, in milliseconds. */
const MAX_ADDED_RETRY_MS = 1_000;

interface Bucket {
  readonly used: SlidingWindowCounter;
  demand: number;
  /** Time up to which the decay of the demand is applied, in milliseconds. */
  decayedMs: number;
  /** Limit in the configuration in force. */
  limit: TeamLimit;
  /** Fraction of the demand in each region when the reports of all instances last arrived. */
  regionFractions: ReadonlyMap<RegionId, number> | undefined;
}

/**
 * Enforces the limits of teams over all instances without a coordinator: each instance
 * reports what it has admitted lately, and admits calls against the sum of all reports.
 * The weight that all instances admit in any window stays bounded, also when instances
 * are partitioned from each other, start at the same time, or stall. Long calls of a
 * team are admitted as often as short ones.
 */
export class FleetLimits {
  readonly #parts: FleetLimitsParts;
  readonly #decayTimeMs: number;
  readonly #buckets = new Map<TeamId, Bucket>();
  #counts: readonly RegionInstanceCount[];
  #knownCount = 1;
  #countedMs = Number.NEGATIVE_INFINITY;

  /** @param parts Bounds, random source, and access to the reports of other instances. */
  constructor(parts: FleetLimitsParts) {
    this.#parts = parts;
    this.#decayTimeMs = parts.bounds.windowMs * DECAY_TIME_FRACTION;
    this.#counts = [{ region: parts.ownRegion, known: 1, reporting: 1 }];
  }

  /**
   * Sets the numbers of known and reporting instances.
   *
   * @param counts Counts of each region, including the own one.
   * @param registeredCount Number of instances that the store lists.
   * @param nowMs Current time, in milliseconds.
   */
  setInstanceCounts(
    counts: readonly RegionInstanceCount[],
    registeredCount: number,
    nowMs: number,
  ): void {
    this.#counts = counts;
    this.#knownCount = Math.max(
      registeredCount,
      sumOf(counts, ({ known }) => known),
    );
    this.#countedMs = nowMs;
  }

  /**
   * Admits a call and adds it to the usage of its team, if the limit allows it.
   *
   * @param team Team of the caller; all calls of a team without a limit are admitted.
   * @param weight Units that the call counts.
   * @param nowMs Current time, in milliseconds.
   */
  admit(team: Team, weight: number, nowMs: number): LimitDecision {
    const { limit } = team;
    if (limit === undefined) return { kind: "admitted" };
    const bucket = this.#readBucket(team.id, limit, nowMs);
    const others = this.#parts.readUsageOfOthers(team.id);
    const part = this.#computeUsableFraction(bucket, others, nowMs);
    const budget = this.#computeBudget(limit);
    const mayUse = part * budget;
    const used = this.#readUsage(bucket, nowMs) +
      sumOf(others, (use) => use.used);
    const asked = bucket.demand + sumOf(others, (use) => use.demand);
    bucket.demand += weight;
    // An instance that lacks reports of others may use only a small part of the budget,
    // and one call may weigh many times as much. Such a call is admitted with a
    // probability that falls with its weight.
    const left = mayUse - used;
    const chance = Math.min(
      this.#computeAdmissionProbability(left, asked, mayUse),
      part * this.#computeUnthrottledDemand(limit) / asked,
      part < 1 ? left / weight : 1,
    );
    const canEverAdmit = weight <= budget;
    if (canEverAdmit && this.#parts.random.nextFloat() < chance) {
      bucket.used.add(this.#toCountTime(nowMs), weight);
      return { kind: "admitted" };
    }
    return {
      kind: "refused",
      retryAfterMs: canEverAdmit ? this.#pickRetryMs(chance) : undefined,
      inputs: { weight, used, asked, mayUse, part, chance },
    };
  }

  /** Refunds the weight of an admitted call that did not run. */
  refund(
    team: TeamId,
    weight: number,
    at: { readonly admittedMs: number; readonly nowMs: number },
  ): void {
    const bucket = this.#buckets.get(team);
    if (bucket === undefined) return;
    this.#decayDemand(bucket, at.nowMs);
    const elapsedMs = at.nowMs - at.admittedMs;
    const left = weight * this.#computeDecayFactor(elapsedMs);
    bucket.demand = Math.max(0, bucket.demand - left);
    if (elapsedMs < this.#parts.bounds.windowMs) {
      bucket.used.add(this.#toCountTime(at.nowMs), -weight);
    }
  }

  /** Returns the usage to report to others: that of teams that are not far below their limit. */
  listOwnUsage(nowMs: number): readonly ReportedTeamUsage[] {
    return [...this.#buckets].flatMap(([team, bucket]) => {
      this.#decayDemand(bucket, nowMs);
      const used = this.#readUsage(bucket, nowMs);
      const minReported = MIN_REPORTED_FRACTION *
        this.#computeBudget(bucket.limit) / this.#knownCount;
      if (used < minReported && bucket.demand < minReported) return [];
      const demand = Math.round(bucket.demand);
      return [{ team, used: Math.round(used), demand }];
    });
  }

  /**
   * Removes the state of all teams but these, and of those that have used something within the
   * window: a team may come back with the next configuration.
   */
  keepOnly(teams: ReadonlySet<TeamId>, nowMs: number): void {
    [...this.#buckets].filter(([team, { used }]) =>
      !teams.has(team) && used.read(this.#toCountTime(nowMs)) <= 0
    ).forEach(([team]) => this.#buckets.delete(team));
  }

  #readBucket(team: TeamId, limit: TeamLimit, nowMs: number): Bucket {
    const known = this.#buckets.get(team);
    if (known !== undefined) {
      known.limit = limit;
      this.#decayDemand(known, nowMs);
      return known;
    }
    const bucket: Bucket = {
      used: new SlidingWindowCounter(
        SLIDING_COUNT_WINDOWS * this.#parts.bounds.windowMs,
      ),
      demand: this.#computePriorDemand(limit, nowMs),
      decayedMs: nowMs,
      limit,
      regionFractions: undefined,
    };
    this.#buckets.set(team, bucket);
    return bucket;
  }

  #readUsage({ limit, used }: Bucket, nowMs: number): number {
    const counted = Math.max(0, used.read(this.#toCountTime(nowMs)));
    return counted + this.#computePriorUsage(limit, nowMs);
  }

  /**
   * Returns the usage that is assumed from before this process started, since the actual
   * usage is unknown. Without it, instances that start at the same time would have a
   * whole window each.
   */
  #computePriorUsage(limit: TeamLimit, nowMs: number): number {
    const { bounds: { windowMs }, startedMs } = this.#parts;
    const passed = (nowMs - startedMs) / (PRIOR_USAGE_WINDOWS * windowMs);
    if (passed >= 1) return 0;
    const share = this.#computeBudget(limit) / this.#knownCount;
    return PRIOR_USAGE_FRACTION * share * (1 - passed);
  }

  /** Returns the demand that is assumed from before the start: as much as the limit grants. */
  #computePriorDemand({ perSecond }: TeamLimit, nowMs: number): number {
    const granted = perSecond * this.#decayTimeMs / 1_000 / this.#knownCount;
    return granted * this.#computeDecayFactor(nowMs - this.#parts.startedMs);
  }

  /** Converts a time to one of the sliding count, which starts at 0, before all counted calls. */
  #toCountTime(nowMs: number): number {
    const { bounds: { windowMs }, startedMs } = this.#parts;
    return nowMs - startedMs + 2 * windowMs;
  }

  #decayDemand(bucket: Bucket, nowMs: number): void {
    const decayFactor = this.#computeDecayFactor(nowMs - bucket.decayedMs);
    bucket.demand *= decayFactor;
    bucket.decayedMs = nowMs;
  }

  #computeDecayFactor(elapsedMs: number): number {
    return Math.exp(-Math.max(0, elapsedMs) / this.#decayTimeMs);
  }

  /** Returns the planned weight that all instances together may admit in one window. */
  #computeBudget({ burst, perSecond }: TeamLimit): number {
    const { overshoot, slack, windowMs } = this.#parts.bounds;
    const granted = perSecond * windowMs / 1_000 + burst;
    return granted + PLANNED_EXCESS_FRACTION * (overshoot * granted + slack);
  }

  /** Returns the recent demand on all instances together beyond which only a part is admitted. */
  #computeUnthrottledDemand({ perSecond }: TeamLimit): number {
    const { bounds: { slack } } = this.#parts;
    const rate = MAX_RATE_FACTOR * perSecond * this.#decayTimeMs / 1_000;
    return rate + PLANNED_EXCESS_FRACTION * slack;
  }

  /**
   * Returns the probability with which a call is admitted: 1 until calls that others may
   * have admitted without a report yet could exceed the budget, and 0 at its end.
   */
  #computeAdmissionProbability(
    left: number,
    asked: number,
    mayUse: number,
  ): number {
    if (left <= 0) return 0;
    const unreported = asked / this.#decayTimeMs * REPORT_DELAY_MS / mayUse;
    const taperedFraction = Math.min(
      MAX_TAPERED_FRACTION,
      Math.max(MIN_TAPERED_FRACTION, unreported),
    );
    return Math.min(1, left / (taperedFraction * mayUse));
  }

  /** Returns the fraction of the limit that the reporting instances may use together. */
  #computeUsableFraction(
    bucket: Bucket,
    others: readonly RegionTeamUsage[],
    nowMs: number,
  ): number {
    if (nowMs - this.#countedMs > COUNT_VALID_MS) return 1 / this.#knownCount;
    const reporting = sumOf(this.#counts, (count) => count.reporting);
    if (reporting >= this.#knownCount) {
      bucket.regionFractions = this.#computeRegionFractions(bucket, others);
      return 1;
    }
    const { regionFractions } = bucket;
    if (regionFractions === undefined) return reporting / this.#knownCount;
    return Math.min(
      1,
      sumOf(
        this.#counts,
        (count) =>
          (regionFractions.get(count.region) ?? 0) * count.reporting /
          count.known,
      ),
    );
  }

  /** Returns the fraction of the demand in each region; each instance adds a small constant. */
  #computeRegionFractions(
    bucket: Bucket,
    others: readonly RegionTeamUsage[],
  ): ReadonlyMap<RegionId, number> {
    const { ownRegion } = this.#parts;
    const budget = this.#computeBudget(bucket.limit);
    const weigh = ({ known, region }: RegionInstanceCount) => {
      const asked = sumOf(
        others.filter((use) => use.region === region),
        (use) => use.demand,
      );
      const own = region === ownRegion ? bucket.demand : 0;
      return asked + own +
        EVEN_DEMAND_FRACTION * budget * known / this.#knownCount;
    };
    const total = sumOf(this.#counts, weigh);
    return new Map(
      this.#counts.map((count) => [count.region, weigh(count) / total]),
    );
  }

  /**
   * Returns the time after which to retry, in milliseconds: longer the fewer calls are
   * admitted, and jittered, so that callers do not retry all at once.
   */
  #pickRetryMs(chance: number): number {
    const waitMs = MIN_RETRY_MS + (1 - chance) * MAX_ADDED_RETRY_MS;
    return Math.round(waitMs * (1 + this.#parts.random.nextFloat()));
  }
}

function sumOf<T>(items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0);
}
