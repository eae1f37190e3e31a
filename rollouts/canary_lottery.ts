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
/** Part of the share that is distributed evenly over routes, so that rare ones are covered. */
const EVEN_ROUTE_PART = 0.5;
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
   * @param share Share of all calls that the canary gets over time.
   * @param naturalShare Share that loads the canary's servers as later.
   * @param elapsedMs Time since the order, which instances know alike.
   */
  draw(
    call: LotteryCall,
    share: number,
    naturalShare: number,
    elapsedMs: number,
  ): boolean {
    const counts = this.#count(call.route);
    const part = Math.max(
      MIN_BURST_SHARE_FACTOR * share,
      Math.min(1, share / Math.max(share, naturalShare)),
    );
    const isEven = part >= EVEN_PART;
    // Bursts end the period, since the budget for them is earned before.
    const isBurst = elapsedMs % BURST_PERIOD_MS >= BURST_PERIOD_MS * (1 - part);
    if (!isEven && !isBurst) return false;
    const probability = this.#computeShare(
      counts,
      isEven ? share : share / part,
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

  /** Returns a route's share: half of the share by calls, half evenly over routes. */
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
