/** Window in which lines are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/**
 * Limits the rate of log lines of one kind, so that frequent events of that kind
 * do not hide the other lines.
 */
export class LineRateLimiter {
  readonly #linesPerSecond: number;
  #windowStartMs = Number.NEGATIVE_INFINITY;
  #writtenInWindow = 0;
  #suppressed = 0;

  /** @param linesPerSecond Maximum number of lines written in one second. */
  constructor(linesPerSecond: number) {
    this.#linesPerSecond = linesPerSecond;
  }

  /**
   * Decides whether one line is written.
   *
   * @param nowMs Current time, in milliseconds.
   * @returns Number of lines suppressed since the last one written; `undefined` if this line
   *   is suppressed, too.
   */
  admitLine(nowMs: number): number | undefined {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#writtenInWindow = 0;
    }
    if (this.#writtenInWindow >= this.#linesPerSecond) {
      this.#suppressed++;
      return undefined;
    }
    this.#writtenInWindow++;
    const suppressedBefore = this.#suppressed;
    this.#suppressed = 0;
    return suppressedBefore;
  }
}
