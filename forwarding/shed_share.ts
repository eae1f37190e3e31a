/**
 * Delay of the loop that is aimed at while more calls come than can be forwarded,
 * in milliseconds: a tenth of the usual objective, and enough to tell a full
 * processor from a moment's work.
 */
const GOAL_MS = 80;
/**
 * How fast the share grows, in parts of all calls a second, at twice the goal. A
 * doubled load is met within a second.
 */
const GROWTH_PER_SECOND = 1;
/** Delays beyond so many goals make it grow no faster: one long pause is no overload. */
const MOST_GOALS = 4;
/** How fast it shrinks while the loop keeps up, in parts of all calls a second: slower, so that it settles. */
const DECLINE_PER_SECOND = 0.25;
/** The share stays below this: what is served shows when the load is over. */
const MOST_SHED = 0.95;
/** Longest time that one measurement counts for, in seconds. */
const LONGEST_STEP_S = 0.25;

/**
 * Which part of the callers' calls to refuse at once, so that the others are read
 * in time. A refusal costs about a quarter of the processor time of a forwarded
 * call, and its caller can go elsewhere while there is time; without refusals an
 * overload of 1.2 to 2.5 makes all calls wait 1.0 to 3.5 s unread within six seconds
 * (the load in `daemon/overload_test.ts`).
 *
 * The delay of the loop drives it, not the processor's use: a busy processor that
 * keeps up needs no refusals.
 */
export class ShedShare {
  #share = 0;

  /** Part of the calls to refuse, 0 to 1. */
  get value(): number {
    return this.#share;
  }

  /**
   * Takes a measurement.
   *
   * @param delayMs How far the loop is behind, in milliseconds.
   * @param sinceMs Time since the last measurement, in milliseconds.
   */
  record(delayMs: number, sinceMs: number): void {
    const excess = Math.min(delayMs, MOST_GOALS * GOAL_MS) / GOAL_MS - 1;
    const perSecond = excess > 0
      ? GROWTH_PER_SECOND * excess
      : DECLINE_PER_SECOND * excess;
    const seconds = Math.min(sinceMs / 1_000, LONGEST_STEP_S);
    const share = this.#share + perSecond * seconds;
    this.#share = Math.min(MOST_SHED, Math.max(0, share));
  }
}
