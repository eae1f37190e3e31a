import { SlidingWindowCounter } from "../clock/mod.ts";

/** Bound on the retries of all instances together: the sends beyond the first one of each call. */
export interface RetryBounds {
  /** Number of retries for each call. */
  readonly ratio: number;
  /** Number of retries in addition to those, in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Fraction of the bound that is used. Each instance counts calls over its own window,
 * but the bound applies to any window of that length.
 */
const USED_FRACTION = 0.7;
/**
 * Fraction of an instance's share up to which handovers use it. The rest is left for calls that
 * are lost without a retry.
 */
const HANDOVER_FRACTION = 0.5;

/** What a retry is for: a call that has no destination any more, or one that may need another. */
export type RetryPurpose = "retry" | "handover";

/**
 * The share that one instance has in the bound on retries to a service. The share
 * depends on the number of live instances, so that the sum of all shares never exceeds
 * the bound.
 */
export class FleetRetryBudget {
  #bounds: RetryBounds;
  #calls: SlidingWindowCounter;
  #retries: SlidingWindowCounter;

  /** @param bounds Bound on the retries of all instances together. */
  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
    this.#calls = new SlidingWindowCounter(bounds.windowMs);
    this.#retries = new SlidingWindowCounter(bounds.windowMs);
  }

  /** Replaces the bound. Calls and retries that were counted remain counted. */
  setBounds(bounds: RetryBounds): void {
    if (bounds.windowMs !== this.#bounds.windowMs) {
      this.#calls = this.#calls.withWindow(bounds.windowMs);
      this.#retries = this.#retries.withWindow(bounds.windowMs);
    }
    this.#bounds = bounds;
  }

  /** Records a caller's call. */
  recordCall(nowMs: number): void {
    this.#calls.add(nowMs);
  }

  /**
   * Takes one retry from the budget, and returns whether the budget allows it.
   *
   * @param nowMs Time now.
   * @param instances Number of instances that share the bound.
   * @param purpose What the retry is for. Default: `retry`.
   */
  take(
    nowMs: number,
    instances: number,
    purpose: RetryPurpose = "retry",
  ): boolean {
    const { ratio, slack } = this.#bounds;
    const usedFraction = purpose === "handover"
      ? HANDOVER_FRACTION * USED_FRACTION
      : USED_FRACTION;
    const allowed = usedFraction *
      (ratio * this.#calls.read(nowMs) + slack / Math.max(1, instances));
    if (this.#retries.read(nowMs) + 1 > allowed) return false;
    this.#retries.add(nowMs);
    return true;
  }
}

/** The shares of one instance in the bounds on retries, by service. */
export class FleetRetryBudgets {
  readonly #byService = new Map<string, FleetRetryBudget>();
  #bounds: RetryBounds;

  /** @param bounds Bound on the retries of all instances together, for each service. */
  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Replaces the bounds. Calls and retries that were counted remain counted. */
  setBounds(bounds: RetryBounds): void {
    this.#bounds = bounds;
    this.#byService.forEach((budget) => budget.setBounds(bounds));
  }

  /** Records a caller's call to a service. */
  recordCall(service: string, nowMs: number): void {
    this.#find(service).recordCall(nowMs);
  }

  /**
   * Takes one retry from the budget of a service, and returns whether the budget allows it.
   *
   * @param service Name of the service.
   * @param nowMs Time now.
   * @param instances Number of instances that share the bound.
   * @param purpose What the retry is for. Default: `retry`.
   */
  take(
    service: string,
    nowMs: number,
    instances: number,
    purpose?: RetryPurpose,
  ): boolean {
    return this.#find(service).take(nowMs, instances, purpose);
  }

  #find(service: string): FleetRetryBudget {
    const known = this.#byService.get(service) ??
      new FleetRetryBudget(this.#bounds);
    this.#byService.set(service, known);
    return known;
  }
}
