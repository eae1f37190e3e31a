import type { Random } from "../clock/mod.ts";
import type { RolloutId } from "../ids/mod.ts";
import { computeShareHash } from "./compute_share_hash.ts";

/**
 * Period of bursts, in milliseconds. A region with few servers has one canary server, which
 * gets its later load only if the canary's calls come in bursts.
 */
const BURST_PERIOD_MS = 1_500;
/** Part of the period from which bursts are no different from an even share. */
const EVEN_PART = 0.7;
/** Shortest burst, as a part of the period: half of the calls go to the canary in it. */
const MIN_BURST_SHARE_FACTOR = 2;
/** Unused sends from which bursts are longer: cold servers took few calls. */
const LARGE_SURPLUS = 2;
/**
 * Own calls up to which an instance uses its budget as soon as it has one. An instance of a
 * large fleet has a budget of one or two sends for the whole order; a draw with the usual
 * share would leave it unused.
 */
const FEW_CALLS = 100;
/** Factor of the share for each unused send, and the largest share. */
const SURPLUS_FACTOR = 3;
const MAX_SHARE = 0.5;
/** Part of the share that is distributed evenly over routes, so that rare ones are covered. */
const EVEN_ROUTE_PART = 0.7;
/** Calls by which hashing may miss a route's share before calls are drawn at random. */
const MAX_DEFICIT = 2;
const MAX_EXCESS = 3;
/** Factor by which hashing may miss a route's share. */
const MAX_DEVIATION = 1.5;

/** One call to be assigned. */
export interface LotteryCall {
  readonly route: string;
  readonly affinityKey: string | undefined;
}

/** What the canary may get. */
export interface LotteryInput {
  /** Share of all calls that the canary gets over time. */
  readonly share: number;
  /** Share that loads the canary's servers as later. */
  readonly naturalShare: number;
  /** Time since the order, which instances know alike, in milliseconds. */
  readonly elapsedMs: number;
  /** Sends that the budget allows now. */
  readonly available: number;
}

interface RouteCounts {
  calls: number;
  expected: number;
  assigned: number;
}

/**
 * Decides which calls the canary gets. Calls with the same shared prompt part go to the same
 * version by a hash, so that the part is read by one version only. A deployment may have a
 * handful of parts, of which the hash selects none or the most frequent one: what a route
 * then lacks is drawn at random, and what it has too much is not assigned.
 */
export class CanaryLottery {
  readonly #id: RolloutId;
  readonly #random: Random;
  readonly #routes = new Map<string, RouteCounts>();
  #calls = 0;

  /**
   * @param id Order.
   * @param random Source of random numbers.
   */
  constructor(id: RolloutId, random: Random) {
    this.#id = id;
    this.#random = random;
  }

  /**
   * Returns whether the canary gets a call.
   *
   * @param call The call.
   * @param input What the canary may get.
   */
  draw(
    call: LotteryCall,
    { available, elapsedMs, naturalShare, share }: LotteryInput,
  ): boolean {
    const counts = this.#count(call.route);
    const part = Math.max(
      MIN_BURST_SHARE_FACTOR * share,
      Math.min(1, share / Math.max(share, naturalShare)),
    );
    const isEven = part >= EVEN_PART;
    const burstPart = available >= LARGE_SURPLUS ? 2 * part : part;
    // Bursts end the period, since the budget for them is earned before.
    const isBurst = elapsedMs % BURST_PERIOD_MS >=
      BURST_PERIOD_MS * (1 - burstPart);
    if (!isEven && !isBurst) return false;
    const probability = this.#computeShare(
      counts,
      isEven ? this.#raiseShare(call, share, available) : share / part,
    );
    counts.expected += probability;
    const isDrawn = this.#decide(call, counts, probability);
    if (isDrawn) counts.assigned++;
    return isDrawn;
  }

  /**
   * Returns whether a call is among a share of all calls, in the ramp. Calls that the canary
   * got by their hash are among them.
   */
  isAmong({ affinityKey }: LotteryCall, share: number): boolean {
    return affinityKey === undefined
      ? this.#random.nextFloat() < share
      : this.#hash(affinityKey) < share;
  }

  #decide(
    { affinityKey }: LotteryCall,
    { assigned, expected }: RouteCounts,
    probability: number,
  ): boolean {
    const isRandom = affinityKey === undefined ||
      (expected - assigned > MAX_DEFICIT &&
        assigned * MAX_DEVIATION < expected);
    if (isRandom) return this.#random.nextFloat() < probability;
    const hasExcess = assigned - expected > MAX_EXCESS &&
      assigned > MAX_DEVIATION * expected;
    return !hasExcess && this.#hash(affinityKey) < probability;
  }

  #raiseShare(
    { affinityKey }: LotteryCall,
    share: number,
    available: number,
  ): number {
    const mayRaise = available >= 1 && (affinityKey === undefined ||
      this.#calls <= FEW_CALLS || available >= LARGE_SURPLUS);
    return mayRaise
      ? Math.min(MAX_SHARE, share * (1 + SURPLUS_FACTOR * available))
      : share;
  }

  /** Returns a route's share: a part of the share by calls, the rest evenly over routes. */
  #computeShare({ calls }: RouteCounts, share: number): number {
    const routeShare = calls / this.#calls;
    const factor = 1 - EVEN_ROUTE_PART +
      EVEN_ROUTE_PART / (this.#routes.size * routeShare);
    return Math.min(1, share * factor);
  }

  #count(route: string): RouteCounts {
    const counts = this.#routes.get(route) ??
      { calls: 0, expected: 0, assigned: 0 };
    counts.calls++;
    this.#calls++;
    this.#routes.set(route, counts);
    return counts;
  }

  #hash(affinityKey: string): number {
    return computeShareHash(`${this.#id}\u0000${affinityKey}`);
  }
}
