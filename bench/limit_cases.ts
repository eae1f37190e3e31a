import type { LimitBounds } from "../admission/mod.ts";
import { createRandom } from "../clock/mod.ts";
import type { TeamLimit } from "../teams/mod.ts";
import {
  type LimitArrival,
  type LimitFault,
  type LimitFleet,
  type LimitFleetParts,
  REGIONS,
  TICK_MS,
  toRegionIndex,
} from "./limit_fleet.ts";

/** Load on one team, and the faults that happen meanwhile. */
export interface LimitCase {
  readonly name: string;
  readonly limit: TeamLimit;
  /** Returns the demand of a region at a time, as a fraction of the limit. */
  readonly readDemand: (region: number, atMs: number) => number;
  /** Whether the mean demand lies inside the limit. */
  readonly isInside: boolean;
  readonly faults: readonly LimitFault[];
}

/** How a fleet handled a load. */
export interface LimitOutcome {
  /** Largest weight admitted in any window, as a fraction of what the bounds allow. */
  readonly ofBound: number;
  /** Fraction admitted of the calls that a single bucket for all instances would admit. */
  readonly admitted: number;
  /** Weight admitted per second, as a fraction of the limit. */
  readonly ofLimit: number;
  /** Fraction admitted of the heaviest tenth of calls, minus that of all calls. */
  readonly heaviest: number;
  /** Rows or messages that one instance sends per second. */
  readonly sentPerSecond: number;
}

/** Bounds that the admitted weight is held against. */
export const LIMIT_BOUNDS: LimitBounds = {
  windowMs: 8_000,
  overshoot: 0.1,
  slack: 190_000,
};
const DURATION_MS = 30_000;
/** Fraction of calls with long prompts, as in the users' sheet; the others are short questions. */
const LONG_FRACTION = 0.04;
const LONG_MEAN_TOKENS = 17_000;
const SHORT_MEAN_TOKENS = 430;
const MEAN_TOKENS = LONG_FRACTION * LONG_MEAN_TOKENS +
  (1 - LONG_FRACTION) * SHORT_MEAN_TOKENS;

function toLimit(perSecond: number): TeamLimit {
  return { unit: "tokens", perSecond, burst: perSecond, plainTokens: 200 };
}

const LARGE = toLimit(720_000);
const SMALL = toLimit(47_000);
/** Creates a demand that is the same in each region at all times. */
const createEvenDemand = (factor: number) => () => factor / REGIONS.length;
/** Creates a demand that peaks in one region after the other: each goes from 0.17 to 2.8 of its mean. */
const createMovingPeak = (factor: number) => (region: number, atMs: number) => {
  const phase = (atMs / 9_000 + region) % REGIONS.length;
  const isPeak = phase < 1;
  return factor * (isPeak ? 2.6 : 0.2) / REGIONS.length;
};

/** Cases on which implementations of team limits are compared. */
export const LIMIT_CASES: readonly LimitCase[] = [
  ...[LARGE, SMALL].flatMap((limit): readonly LimitCase[] => {
    const size = limit === LARGE ? "large" : "small";
    const calm = { limit, faults: [], isInside: true };
    return [
      {
        ...calm,
        name: `${size}, steady 0.55`,
        readDemand: createEvenDemand(0.55),
      },
      {
        ...calm,
        name: `${size}, walks 0.55`,
        readDemand: createMovingPeak(0.55),
      },
      {
        ...calm,
        name: `${size}, 4 x the limit`,
        readDemand: (_, atMs) => (atMs < 6_000 ? 0.5 : 4) / REGIONS.length,
        isInside: false,
      },
    ];
  }),
  ...[LARGE, SMALL].map((limit): LimitCase => ({
    name: `${limit === LARGE ? "large" : "small"}, 2 x, a third cut off`,
    limit,
    readDemand: createEvenDemand(2),
    isInside: false,
    faults: [{
      kind: "cut",
      fromMs: 8_000,
      untilMs: 20_000,
      isAffected: (instance) => instance % 10 < 3,
    }],
  })),
  {
    name: "large, 2 x, a region cut off",
    limit: LARGE,
    readDemand: createMovingPeak(2),
    isInside: false,
    faults: [{
      kind: "cut",
      fromMs: 8_000,
      untilMs: 14_000,
      isAffected: (instance) => toRegionIndex(instance) === 0,
    }],
  },
  {
    name: "large, 4 x, all start at once",
    limit: LARGE,
    readDemand: createEvenDemand(4),
    isInside: false,
    faults: [{ kind: "restart", fromMs: 13_000, untilMs: 14_000 }],
  },
  {
    name: "small, 4 x, all start at once",
    limit: SMALL,
    readDemand: createEvenDemand(4),
    isInside: false,
    faults: [{ kind: "restart", fromMs: 13_000, untilMs: 14_000 }],
  },
  {
    name: "large, lenders stand still 6 s",
    limit: LARGE,
    readDemand: createEvenDemand(2),
    isInside: false,
    faults: [{
      kind: "freeze",
      fromMs: 8_000,
      untilMs: 14_000,
      isAffected: (instance) => instance < 3,
    }],
  },
  {
    name: "large, limit lowered to 0.2",
    limit: LARGE,
    readDemand: createEvenDemand(0.9),
    isInside: false,
    faults: [{
      kind: "lower-limit",
      fromMs: 8_000,
      untilMs: DURATION_MS,
      factor: 0.2,
    }],
  },
];

/**
 * Runs a load against a fleet.
 *
 * @param load Demand and faults.
 * @param instances Number of instances of the fleet.
 * @param create Creates the fleet.
 */
export function runLimitCase(
  load: LimitCase,
  instances: number,
  create: (parts: LimitFleetParts) => LimitFleet,
): LimitOutcome {
  const { limit, faults } = load;
  const isFaultActive = (
    kind: LimitFault["kind"],
    instance: number,
    nowMs: number,
  ) =>
    faults.some((fault) =>
      fault.kind === kind && nowMs >= fault.fromMs &&
      nowMs < fault.untilMs && (fault.isAffected?.(instance) ?? true)
    );
  const isStalled = (instance: number, nowMs: number) =>
    isFaultActive("freeze", instance, nowMs) ||
    isFaultActive("restart", instance, nowMs);
  const isRegionCut = load.name.includes("region");
  const fleet = create({
    instances,
    limit,
    bounds: LIMIT_BOUNDS,
    isStalled,
    isReachable: (from, to, nowMs) => {
      const isSame = isRegionCut && toRegionIndex(from) === toRegionIndex(to);
      const isCut = isFaultActive("cut", from, nowMs) ||
        isFaultActive("cut", to, nowMs);
      return from === to || isSame || !isCut;
    },
  });
  const arrivals = createArrivals(load, instances);
  const lowered = faults.find(({ kind }) => kind === "lower-limit");
  const done: { readonly atMs: number; readonly weight: number }[] = [];
  const isDone: boolean[] = [];
  let tickMs = 0;
  arrivals.forEach((arrival) => {
    while (tickMs <= arrival.atMs) {
      fleet.tick(tickMs);
      faults.filter(({ kind, untilMs }) =>
        kind === "restart" && untilMs > tickMs - TICK_MS && untilMs <= tickMs
      ).forEach(() => {
        for (let at = 0; at < instances; at++) fleet.restart(at, tickMs);
      });
      if (lowered !== undefined && tickMs >= lowered.fromMs) {
        fleet.setLimit(scale(limit, lowered.factor ?? 1));
      }
      tickMs += TICK_MS;
    }
    const isAdmitted = !isStalled(arrival.instance, arrival.atMs) &&
      fleet.admit(arrival);
    isDone.push(isAdmitted);
    if (isAdmitted) done.push(arrival);
  });
  return summarize(
    load,
    arrivals,
    { done, isDone, sent: fleet.sent },
    instances,
  );
}

function scale(limit: TeamLimit, factor: number): TeamLimit {
  return {
    ...limit,
    perSecond: limit.perSecond * factor,
    burst: limit.burst * factor,
  };
}

function createArrivals(
  { limit, readDemand }: LimitCase,
  instances: number,
): readonly LimitArrival[] {
  const random = createRandom(instances);
  const peak = 6 * limit.perSecond / MEAN_TOKENS;
  const arrivals: LimitArrival[] = [];
  let atMs = 0;
  while (atMs < DURATION_MS) {
    atMs += -Math.log(1 - random.nextFloat()) * 1_000 / peak;
    const instance = Math.floor(random.nextFloat() * instances);
    const demand = readDemand(toRegionIndex(instance), atMs) * REGIONS.length;
    if (random.nextFloat() * 6 >= demand) continue;
    const mean = random.nextFloat() < LONG_FRACTION
      ? LONG_MEAN_TOKENS
      : SHORT_MEAN_TOKENS;
    arrivals.push({
      atMs,
      instance,
      weight: mean * (0.3 + 1.4 * random.nextFloat()),
    });
  }
  return arrivals;
}

function summarize(
  { limit, faults }: LimitCase,
  arrivals: readonly LimitArrival[],
  { done, isDone, sent }: {
    readonly done: readonly {
      readonly atMs: number;
      readonly weight: number;
    }[];
    readonly isDone: readonly boolean[];
    readonly sent: number;
  },
  instances: number,
): LimitOutcome {
  const lowered = faults.find(({ kind }) => kind === "lower-limit");
  const evaluated = lowered === undefined
    ? done
    : done.filter(({ atMs }) => atMs >= lowered.fromMs);
  const inForce = scale(limit, lowered?.factor ?? 1);
  const { overshoot, slack, windowMs } = LIMIT_BOUNDS;
  const bound = (inForce.perSecond * windowMs / 1_000 + inForce.burst) *
      (1 + overshoot) + slack;
  const ordered = arrivals.map(({ weight }, at) => ({
    weight,
    isAdmitted: isDone[at]!,
  }))
    .sort((a, b) => b.weight - a.weight);
  const heaviest = ordered.slice(0, Math.ceil(ordered.length / 10));
  const computeAdmittedFraction = (
    some: readonly { readonly isAdmitted: boolean }[],
  ) =>
    some.filter(({ isAdmitted }) => isAdmitted).length /
    Math.max(1, some.length);
  const weight = done.reduce((sum, each) => sum + each.weight, 0);
  return {
    ofBound: findMaxWindowWeight(evaluated, windowMs) / bound,
    admitted: computeAdmittedFraction(
      listAdmittedBySingleBucket(limit, arrivals).map((at) => ({
        isAdmitted: isDone[at]!,
      })),
    ),
    ofLimit: weight / (limit.perSecond * DURATION_MS / 1_000),
    heaviest: computeAdmittedFraction(heaviest) -
      computeAdmittedFraction(ordered),
    sentPerSecond: sent / instances / (DURATION_MS / 1_000),
  };
}

/** Returns the indexes of the calls that a single bucket for all instances would admit. */
function listAdmittedBySingleBucket(
  { burst, perSecond }: TeamLimit,
  arrivals: readonly LimitArrival[],
): readonly number[] {
  let tokens = burst;
  let lastMs = 0;
  return arrivals.flatMap(({ atMs, weight }, at) => {
    tokens = Math.min(burst, tokens + perSecond * (atMs - lastMs) / 1_000);
    lastMs = atMs;
    if (tokens < weight) return [];
    tokens -= weight;
    return [at];
  });
}

/** Returns the largest weight of the calls in any window of a length. */
function findMaxWindowWeight(
  done: readonly { readonly atMs: number; readonly weight: number }[],
  windowMs: number,
): number {
  let first = 0;
  let sum = 0;
  let max = 0;
  done.forEach(({ atMs, weight }) => {
    sum += weight;
    while (done[first]!.atMs <= atMs - windowMs) sum -= done[first++]!.weight;
    max = Math.max(max, sum);
  });
  return max;
}
