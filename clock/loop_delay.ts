import type { Clock } from "./clock.ts";

/**
 * Pause between looks while the loop keeps up, in milliseconds: short beside the
 * shortest timeouts, long beside what a look costs.
 */
const LOOK_INTERVAL_MS = 50;
/**
 * The same while it is behind: a look in each turn of the loop, since what is read
 * in a turn has waited for the one before it at the longest.
 */
const BEHIND_INTERVAL_MS = 1;
/** Delay up to which the loop counts as keeping up, in milliseconds: timers are a little late. */
const LEAST_DELAY_MS = 20;

/**
 * How far the event loop is behind: for how long bytes that are read now may have
 * waited unread. A process that has more to do than it can reads late, and only the
 * lateness of its own timers tells it.
 */
export class LoopDelay {
  readonly #clock: Clock;
  #lookedMs: number | undefined;
  #intervalMs = LOOK_INTERVAL_MS;
  #lateMs = 0;

  /** @param clock Source of time. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts looking, until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#lookedMs = this.#clock.nowMs();
    this.#scheduleLook(signal);
  }

  /**
   * Returns the longest that bytes read now may have waited, in milliseconds; 0
   * while the loop keeps up.
   */
  readMs(): number {
    if (this.#lookedMs === undefined) return 0;
    const sinceMs = this.#clock.nowMs() - this.#lookedMs;
    const delayMs = this.#lateMs + Math.max(0, sinceMs - this.#intervalMs);
    return delayMs > LEAST_DELAY_MS ? delayMs : 0;
  }

  #scheduleLook(signal: AbortSignal): void {
    this.#clock.schedule(this.#intervalMs, () => {
      const nowMs = this.#clock.nowMs();
      const sinceMs = nowMs - (this.#lookedMs ?? nowMs);
      this.#lookedMs = nowMs;
      this.#lateMs = Math.max(0, sinceMs - this.#intervalMs);
      const isBehind = this.#lateMs > LEAST_DELAY_MS;
      this.#intervalMs = isBehind ? BEHIND_INTERVAL_MS : LOOK_INTERVAL_MS;
      this.#scheduleLook(signal);
    }, signal);
  }
}
