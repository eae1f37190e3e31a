import type { StoreClass } from "./store.ts";

/** Order of the classes, and the share of the bucket that each leaves for those before it. */
const RESERVES: Readonly<Record<StoreClass, number>> = {
  journal: 0,
  lease: 0.1,
  configuration: 0.2,
  batch: 0.4,
  usage: 0.5,
};

/** Optional parts of a budget. */
export interface StoreBudgetOptions {
  /** Calls that may be made at once, in seconds of the rate. Default: 1. */
  readonly burstSeconds?: number;
}

/**
 * A token bucket over all store calls of one daemon. A class may spend only
 * what lies above its reserve, so that journal writes go before usage flushes.
 */
export class StoreBudget {
  #tokens: number;
  #capacity: number;
  #callsPerSecond: number;
  #filledMs: number;
  readonly #burstSeconds: number;

  /**
   * @param callsPerSecond Share of this daemon.
   * @param nowMs Time of the first call.
   * @param options Size of a burst.
   */
  constructor(
    callsPerSecond: number,
    nowMs: number,
    options: StoreBudgetOptions = {},
  ) {
    this.#burstSeconds = options.burstSeconds ?? 1;
    this.#callsPerSecond = callsPerSecond;
    this.#capacity = callsPerSecond * this.#burstSeconds;
    this.#tokens = this.#capacity;
    this.#filledMs = nowMs;
  }

  /** Sets the share anew, after the number of live instances changed. */
  setRate(callsPerSecond: number): void {
    this.#callsPerSecond = callsPerSecond;
    this.#capacity = callsPerSecond * this.#burstSeconds;
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /**
   * Takes one token, if the class may.
   *
   * @param callClass Class of the call.
   * @param nowMs Time now.
   * @returns Whether the call may go out.
   */
  admit(callClass: StoreClass, nowMs: number): boolean {
    const elapsedSeconds = Math.max(0, nowMs - this.#filledMs) / 1000;
    this.#filledMs = nowMs;
    this.#tokens = Math.min(
      this.#capacity,
      this.#tokens + elapsedSeconds * this.#callsPerSecond,
    );
    if (this.#tokens - 1 < this.#capacity * RESERVES[callClass]) return false;
    this.#tokens -= 1;
    return true;
  }
}
