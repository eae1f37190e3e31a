import type { StoreClass } from "./store.ts";

/** Order of the classes, and the share of the bucket that each leaves for those before it. */
const RESERVES: Readonly<Record<StoreClass, number>> = {
  journal: 0,
  lease: 0.1,
  configuration: 0.2,
  batch: 0.4,
  usage: 0.5,
};

/** Part of the share that flows in steadily; the rest is the burst, so that no second passes the share. */
const STEADY_SHARE = 0.8;
const LEAST_BURST = 4;

/**
 * A token bucket over all store calls of one daemon. A class may spend only
 * what lies above its reserve, so that journal writes go before usage flushes.
 */
export class StoreBudget {
  #tokens: number;
  #capacity = 0;
  #steadyPerSecond = 0;
  #filledMs: number;

  /**
   * @param callsPerSecond Share of this daemon.
   * @param nowMs Time of the first call.
   */
  constructor(callsPerSecond: number, nowMs: number) {
    this.#tokens = Infinity;
    this.#filledMs = nowMs;
    this.setRate(callsPerSecond);
  }

  /** Sets the share anew, after the number of live instances changed. */
  setRate(callsPerSecond: number): void {
    this.#steadyPerSecond = callsPerSecond * STEADY_SHARE;
    this.#capacity = Math.max(LEAST_BURST, callsPerSecond * (1 - STEADY_SHARE));
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
      this.#tokens + elapsedSeconds * this.#steadyPerSecond,
    );
    if (this.#tokens - 1 < this.#capacity * RESERVES[callClass]) return false;
    this.#tokens -= 1;
    return true;
  }
}
