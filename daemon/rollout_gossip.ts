import { toIncarnation } from "../ids/mod.ts";
import type { FleetReport } from "../fleet/mod.ts";
import type {
  RolloutReport,
  RolloutReportScope,
  RolloutTracker,
} from "../rollouts/mod.ts";

/**
 * Silence of all other instances after which this one counts as cut off, in milliseconds: ten
 * reports. It is longer than the silence of a dead member, so that the loss of the one
 * instance that reports to this one does not count.
 */
const CUT_OFF_MS = 1_500;

/** Orders that run, in the reports that instances exchange. */
export class RolloutGossip {
  readonly #tracker: Pick<RolloutTracker, "createReports" | "mergeReports">;
  #lastReportMs = Number.NEGATIVE_INFINITY;

  /** @param tracker Source of the own reports, into which received ones are merged. */
  constructor(tracker: Pick<RolloutTracker, "createReports" | "mergeReports">) {
    this.#tracker = tracker;
  }

  /** Returns what a report of a scope says; empty while no order runs. */
  listReported(scope: RolloutReportScope): readonly RolloutReport[] {
    return this.#tracker.createReports(scope);
  }

  /**
   * Merges another instance's report, also one without rollouts: its sender runs and has not
   * noticed an order.
   */
  recordReported(
    { from, rollouts = [], scope }: FleetReport,
    nowMs: number,
  ): void {
    const { id: instance, incarnation, region } = from;
    this.#lastReportMs = nowMs;
    this.#tracker.mergeReports(
      { instance, incarnation: toIncarnation(incarnation), region, scope },
      rollouts,
    );
  }

  /** Returns the time since another instance's last report, in milliseconds. */
  readReportAgeMs(nowMs: number): number {
    return nowMs - this.#lastReportMs;
  }

  /** Returns whether a report of another instance was received lately. */
  hasContact(nowMs: number): boolean {
    return this.readReportAgeMs(nowMs) < CUT_OFF_MS;
  }
}

/** Returns a report without the evidence on versions, which only those need that judge them. */
export function omitEvidence(
  { rollouts = [], ...report }: FleetReport,
): FleetReport {
  return {
    ...report,
    rollouts: rollouts.map((rollout) => ({ ...rollout, evidence: [] })),
  };
}
