import { SlidingCount } from "../clock/mod.ts";

/** What all instances together may send beyond the first send of each call. */
export interface RepeatBounds {
  /** Repeats for each call. */
  readonly ratio: number;
  /** Repeats beside those, in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Part of the bound that is used: calls are counted over one's own window, and
 * the bound is checked over any window of the same length.
 */
const USED_PART = 0.7;

/**
 * The share that one instance has in the bound on repeated sends to a service.
 * Shares follow the number of live instances, so that they never add up to more.
 */
export class RepeatBudget {
  readonly #bounds: RepeatBounds;
  readonly #calls: SlidingCount;
  readonly #repeats: SlidingCount;

  /** @param bounds What all instances together may send. */
  constructor(bounds: RepeatBounds) {
    this.#bounds = bounds;
    this.#calls = new SlidingCount(bounds.windowMs);
    this.#repeats = new SlidingCount(bounds.windowMs);
  }

  /** Records a caller's call. */
  recordCall(nowMs: number): void {
    this.#calls.add(nowMs);
  }

  /**
   * Takes one repeat, if the share holds one.
   *
   * @param nowMs Time now.
   * @param instances Instances that share the bound.
   */
  take(nowMs: number, instances: number): boolean {
    const { ratio, slack } = this.#bounds;
    const allowed = USED_PART *
      (ratio * this.#calls.read(nowMs) + slack / Math.max(1, instances));
    if (this.#repeats.read(nowMs) + 1 > allowed) return false;
    this.#repeats.add(nowMs);
    return true;
  }
}

/** The shares of one instance in the bounds on repeated sends, by service. */
export class RepeatBudgets {
  readonly #byService = new Map<string, RepeatBudget>();
  #bounds: RepeatBounds;

  /** @param bounds What all instances together may send to each service. */
  constructor(bounds: RepeatBounds) {
    this.#bounds = bounds;
  }

  /** Takes other bounds; what was sent so far is forgotten. */
  setBounds(bounds: RepeatBounds): void {
    this.#bounds = bounds;
    this.#byService.clear();
  }

  /** Records a caller's call to a service. */
  recordCall(service: string, nowMs: number): void {
    this.#find(service).recordCall(nowMs);
  }

  /**
   * Takes one repeat to a service, if the share holds one.
   *
   * @param service Which.
   * @param nowMs Time now.
   * @param instances Instances that share the bound.
   */
  take(service: string, nowMs: number, instances: number): boolean {
    return this.#find(service).take(nowMs, instances);
  }

  #find(service: string): RepeatBudget {
    const known = this.#byService.get(service) ??
      new RepeatBudget(this.#bounds);
    this.#byService.set(service, known);
    return known;
  }
}
