import type { CrashReport } from "./crash_report.ts";
import { isPartFingerprint } from "./part_fingerprint.ts";

/** Maximum number of queued rows: the calls that three servers had in flight when they crashed. */
const MAX_ROWS = 192;
/** Number of reports in which a row is sent, since datagrams get lost. */
const MAX_SENDS = 2;

interface QueuedRow {
  readonly report: CrashReport;
  readonly addedMs: number;
  sendCount: number;
}

/**
 * Queue of crash reports to send to other instances. Those of prompt parts are sent first, as
 * each counts for many calls; of the others, the newest.
 */
export class CrashReportQueue {
  /** Those that are sent first are at the end. */
  #rows: readonly QueuedRow[] = [];

  /** Number of queued rows. */
  get length(): number {
    return this.#rows.length;
  }

  /** Adds rows; when the queue is full, drops the ones that would be sent last. */
  add(reports: readonly CrashReport[], nowMs: number): void {
    if (reports.length === 0) return;
    const added = reports.map((report) => ({
      report,
      addedMs: nowMs,
      sendCount: 0,
    }));
    const rows = [...this.#rows, ...added];
    const isOfPart = ({ report }: QueuedRow) => isPartFingerprint(report.call);
    this.#rows = [
      ...rows.filter((row) => !isOfPart(row)),
      ...rows.filter(isOfPart),
    ].slice(-MAX_ROWS);
  }

  /**
   * Takes the next rows for a report, with their age.
   *
   * @param count Maximum number of rows.
   * @param nowMs Current time, in milliseconds.
   */
  take(count: number, nowMs: number): readonly CrashReport[] {
    if (this.#rows.length === 0) return [];
    const taken = this.#rows.slice(-count);
    taken.forEach((row) => row.sendCount++);
    this.#rows = this.#rows.filter(({ sendCount }) => sendCount < MAX_SENDS);
    return taken.map(({ addedMs, report }) => ({
      ...report,
      ageMs: report.ageMs + Math.max(0, nowMs - addedMs),
    }));
  }
}
