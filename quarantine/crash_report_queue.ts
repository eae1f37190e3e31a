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
 * Queue of crash reports to send to other instances. A server that crashes may leave a report
 * for each of hundreds of calls and prompt parts, of which few matter, so they are sent by
 * their weight; of equal ones, the newest first.
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
    this.#rows = [...this.#rows, ...added]
      .toSorted((a, b) => computeWeight(a.report) - computeWeight(b.report))
      .slice(-MAX_ROWS);
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

/**
 * Returns how urgent a report is: most, if several servers crashed or calls were answered. Of the
 * others, those of prompt parts come first, as each counts for many calls.
 */
function computeWeight({ call, servers }: CrashReport): number {
  if (servers.length !== 1) return 2;
  return isPartFingerprint(call) ? 1 : 0;
}
