import type { StoreCallClass } from "./store.ts";

/** Fraction of the bucket that each class leaves for those of higher priority, which precede it. */
const RESERVES: Readonly<Record<StoreCallClass, number>> = {
  journal: 0,
  lease: 0.1,
  configuration: 0.2,
  batch: 0.4,
  usage: 0.5,
};

/**
 * Fraction of the daemon's share of calls that refills the bucket steadily. The rest is the
 * burst, so that the calls of any one second do not exceed the share.
 */
const STEADY_SHARE = 0.8;
const MIN_BURST = 4;

/**
 * A token bucket for all store calls of one daemon. A class may only take tokens
 * above its reserve, so that journal writes have priority over usage flushes.
 */
export class StoreBudget {
  #tokens: number;
  #capacity = 0;
  #steadyPerSecond = 0;
  #refilledMs: number;

  /**
   * @param callsPerSecond Calls a second that this daemon may send.
   * @param nowMs Time from which the bucket is refilled, in milliseconds.
   */
  constructor(callsPerSecond: number, nowMs: number) {
    this.#tokens = Infinity;
    this.#refilledMs = nowMs;
    this.setRate(callsPerSecond);
  }

  /** Sets the calls a second, after the number of live instances has changed. */
  setRate(callsPerSecond: number): void {
    this.#steadyPerSecond = callsPerSecond * STEADY_SHARE;
    this.#capacity = Math.max(MIN_BURST, callsPerSecond * (1 - STEADY_SHARE));
    this.#tokens = Math.min(this.#tokens, this.#capacity);
  }

  /**
   * Takes one token if the bucket still holds the reserve of the class without it.
   *
   * @param callClass Class of the call.
   * @param nowMs Current time, in milliseconds.
   * @returns Whether the call may be sent.
   */
  admit(callClass: StoreCallClass, nowMs: number): boolean {
    const elapsedSeconds = Math.max(0, nowMs - this.#refilledMs) / 1000;
    this.#refilledMs = nowMs;
    this.#tokens = Math.min(
      this.#capacity,
      this.#tokens + elapsedSeconds * this.#steadyPerSecond,
    );
    if (this.#tokens - 1 < this.#capacity * RESERVES[callClass]) return false;
    this.#tokens -= 1;
    return true;
  }
}
