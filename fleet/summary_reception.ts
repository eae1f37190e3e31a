import { SUMMARY_TIMEOUT_MS } from "./plan_reports.ts";

/**
 * Silence after which a member of the local region is considered dead, in
 * milliseconds: eight reports in a row.
 */
export const LOCAL_MEMBER_TIMEOUT_MS = 1_200;
/**
 * Time without a summary from which members report to all others, in milliseconds: the
 * next two aggregators have not begun. It leaves eight reports until silent members
 * count as dead.
 */
const LOST_SUMMARIES_MS = 1_800;
/**
 * Gap between summaries after which the silence of members is counted from the next
 * summary on, in milliseconds: four summary intervals.
 */
const MAX_SUMMARY_GAP_MS = 600;

/** Time of an event that has not happened yet. */
const NEVER = Number.NEGATIVE_INFINITY;

/** Tracks whether the summaries arrive that aggregators send to their region. */
export class SummaryReception {
  /** Since when summaries have arrived without a gap. */
  #sinceMs = NEVER;
  /** When the last one arrived. */
  #lastMs = NEVER;

  /** Records a summary of the local region. */
  record(nowMs: number): void {
    const isContinuous = nowMs - this.#lastMs < MAX_SUMMARY_GAP_MS;
    if (!isContinuous) this.#sinceMs = nowMs;
    this.#lastMs = nowMs;
  }

  /** Returns whether summaries arrive in time. */
  isOnTime(nowMs: number): boolean {
    return nowMs - this.#lastMs < SUMMARY_TIMEOUT_MS;
  }

  /** Returns whether the last summary is too old to be used. */
  isOutdated(nowMs: number): boolean {
    return nowMs - this.#lastMs >= LOCAL_MEMBER_TIMEOUT_MS;
  }

  /** Returns whether summaries arrived before, and none has for longer than the next aggregators need to begin. */
  isLost(nowMs: number): boolean {
    return this.#lastMs !== NEVER && nowMs - this.#lastMs >= LOST_SUMMARIES_MS;
  }

  /**
   * Returns whether the summaries that have arrived say nothing yet about the silence of a
   * member, since too few have arrived without a gap since it was last seen.
   */
  isInconclusive(lastSeenMs: number): boolean {
    return this.#lastMs - Math.max(this.#sinceMs, lastSeenMs) <
      LOCAL_MEMBER_TIMEOUT_MS;
  }
}
