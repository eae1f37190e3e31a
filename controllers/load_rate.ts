const BURST = 2;

/**
 * The part of the weight store's rate that one region may use: a token bucket
 * that holds two loads.
 */
export class LoadRate {
  #tokens = BURST;
  #filledMs: number;

  /** @param nowMs Time of the first look. */
  constructor(nowMs: number) {
    this.#filledMs = nowMs;
  }

  /**
   * Returns how many loads may start now.
   *
   * @param perMinute Part of the region, in loads a minute.
   * @param nowMs Time now.
   */
  countFree(perMinute: number, nowMs: number): number {
    const elapsedMinutes = Math.max(0, nowMs - this.#filledMs) / 60_000;
    this.#filledMs = nowMs;
    this.#tokens = Math.min(BURST, this.#tokens + elapsedMinutes * perMinute);
    return Math.floor(this.#tokens);
  }

  /** Takes one load. */
  take(): void {
    this.#tokens -= 1;
  }
}
