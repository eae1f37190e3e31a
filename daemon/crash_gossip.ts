import {
  type CallQuarantine,
  type CrashReport,
  CrashReportQueue,
} from "../quarantine/mod.ts";

/**
 * Recipients of reports: instances of the own region (`near`), other regions (`region`), or
 * the members that an aggregator sends summaries to (`summary`).
 */
export type CrashGossipScope = "local" | "region" | "summary";

/** Maximum number of new crash reports in one message, which keeps it within one packet. */
const MAX_CRASH_REPORTS = 16;
/**
 * Number of messages of each scope of which one also lists a quarantined call, each time
 * another one. That is about one call a second in each scope.
 */
const REPORTS_PER_QUARANTINED_CALL: Readonly<Record<CrashGossipScope, number>> =
  {
    local: 8,
    region: 4,
    summary: 8,
  };
/** Maximum number of quarantined calls in the answer to an instance that asks for what it missed. */
const MAX_QUARANTINED_CALLS_PER_ANSWER = 16;

/**
 * Crash reports in the messages that instances exchange: calls that servers had when they
 * crashed. Each scope has its own queue of new reports. Instances that have just started,
 * or that were cut off, must not send quarantined calls again; so messages keep listing a
 * quarantined call at intervals as long as there are any.
 */
export class CrashGossip {
  readonly #quarantine: CallQuarantine;
  readonly #queues: Readonly<Record<CrashGossipScope, CrashReportQueue>> = {
    local: new CrashReportQueue(),
    region: new CrashReportQueue(),
    summary: new CrashReportQueue(),
  };
  readonly #reportCounts: Record<CrashGossipScope, number> = {
    local: 0,
    region: 0,
    summary: 0,
  };

  /** @param quarantine Source of the own reports, into which received ones are merged. */
  constructor(quarantine: CallQuarantine) {
    this.#quarantine = quarantine;
  }

  /** Queues what this instance itself observed since the last call, for all scopes. */
  gatherOwn(nowMs: number): void {
    const unreported = this.#quarantine.takeUnreported();
    Object.values(this.#queues).forEach((queue) =>
      queue.add(unreported, nowMs)
    );
  }

  /**
   * Merges the crash reports of another instance into the quarantine.
   *
   * @param crashReports Received reports.
   * @param nowMs Current time, in milliseconds.
   * @param forwardTo Scopes to which reports that are new here are sent on.
   */
  mergeReports(
    crashReports: readonly CrashReport[],
    nowMs: number,
    forwardTo: readonly CrashGossipScope[],
  ): void {
    const merged = this.#quarantine.mergeReports(crashReports, nowMs);
    forwardTo.forEach((scope) => this.#queues[scope].add(merged, nowMs));
  }

  /** Takes the crash reports for a message, and at intervals adds a quarantined call. */
  takeForReport(
    scope: CrashGossipScope,
    nowMs: number,
  ): readonly CrashReport[] {
    const includesQuarantined =
      this.#reportCounts[scope]++ % REPORTS_PER_QUARANTINED_CALL[scope] === 0;
    return [
      ...this.#queues[scope].take(MAX_CRASH_REPORTS, nowMs),
      ...this.#quarantine.listQuarantinedInRotation(
        includesQuarantined ? 1 : 0,
        nowMs,
      ),
    ];
  }

  /** Returns quarantined calls for the answer to an instance that asks for what it missed. */
  listForAnswer(nowMs: number): readonly CrashReport[] {
    return this.#quarantine.listQuarantinedInRotation(
      MAX_QUARANTINED_CALLS_PER_ANSWER,
      nowMs,
    );
  }
}
