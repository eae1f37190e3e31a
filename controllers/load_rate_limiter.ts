/** Capacity of the token bucket, in loads. */
const BURST_LOADS = 2;

/**
 * Limits the loads of one region to its part of the weight store's rate, with a token
 * bucket that holds two loads.
 */
export class LoadRateLimiter {
  #tokens = BURST_LOADS;
  #refilledMs: number;

  /** @param nowMs Current time, in milliseconds. */
  constructor(nowMs: number) {
    this.#refilledMs = nowMs;
  }

  /**
   * Refills the bucket and returns how many loads may start now.
   *
   * @param perMinute The region's part of the rate, in loads per minute.
   * @param nowMs Current time, in milliseconds.
   */
  refillAndCount(perMinute: number, nowMs: number): number {
    const elapsedMinutes = Math.max(0, nowMs - this.#refilledMs) / 60_000;
    this.#refilledMs = nowMs;
    this.#tokens = Math.min(
      BURST_LOADS,
      this.#tokens + elapsedMinutes * perMinute,
    );
    return Math.floor(this.#tokens);
  }

  /** Takes the token of one load. */
  take(): void {
    this.#tokens -= 1;
  }
}
