import type { ReportedEnds } from "./reported_ends.ts";

/** Rows that wait at the most: what three servers had in flight as they ended. */
const MAX_WAITING = 192;
/** Reports that carry a row: datagrams get lost. */
const TELLINGS = 2;

interface WaitingRow {
  readonly ends: ReportedEnds;
  readonly addedMs: number;
  tellings: number;
}

/** What is to be told of calls under which servers ended, the newest first. */
export class EndsQueue {
  #rows: readonly WaitingRow[] = [];

  /** Rows that wait. */
  get length(): number {
    return this.#rows.length;
  }

  /** Adds rows; the oldest are dropped where too many wait. */
  add(told: readonly ReportedEnds[], nowMs: number): void {
    if (told.length === 0) return;
    const added = told.map((ends) => ({ ends, addedMs: nowMs, tellings: 0 }));
    this.#rows = [...this.#rows, ...added].slice(-MAX_WAITING);
  }

  /**
   * Takes rows for a report.
   *
   * @param count At the most.
   * @param nowMs Time now.
   */
  take(count: number, nowMs: number): readonly ReportedEnds[] {
    if (this.#rows.length === 0) return [];
    const taken = this.#rows.slice(-count);
    taken.forEach((row) => row.tellings++);
    this.#rows = this.#rows.filter(({ tellings }) => tellings < TELLINGS);
    return taken.map(({ addedMs, ends }) => ({
      ...ends,
      ageMs: ends.ageMs + Math.max(0, nowMs - addedMs),
    }));
  }
}
