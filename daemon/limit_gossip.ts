import type { FleetReport, ReportedLimit } from "../fleet/mod.ts";
import type { LimitSource, ServerLimits } from "../forwarding/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";

/** Constructor arguments of {@linkcode LimitGossip}. */
export interface LimitGossipParts {
  /** Region of this instance. */
  readonly ownRegion: RegionId;
  /** Source of the reported limits, which also records received ones. */
  readonly limits: ServerLimits;
  readonly logger: Logger;
}

/** Limits that servers advertised, in the reports that instances exchange. */
export class LimitGossip {
  readonly #parts: LimitGossipParts;

  /** @param parts Known limits and logger. */
  constructor(parts: LimitGossipParts) {
    this.#parts = parts;
  }

  /** Returns the limits to include in a report of a scope. */
  listReported(
    scope: FleetReport["scope"],
    nowMs: number,
  ): readonly ReportedLimit[] {
    const reportScope = scope === "instance" ? "instance" : "region";
    return this.#parts.limits.listReported(reportScope, nowMs);
  }

  /** Records the limits in another instance's report, and logs those that changed. */
  recordReported(
    { from, limits = [], scope }: FleetReport,
    nowMs: number,
  ): void {
    if (limits.length === 0) return;
    const { limits: known, logger, ownRegion } = this.#parts;
    const isFirsthand = scope === "instance" && from.region === ownRegion;
    const source: LimitSource = isFirsthand ? "member" : "summary";
    known.recordReported(limits, source, nowMs).forEach(
      ({ perSecond, server }) => {
        const fields = { server, reportedBy: from.id };
        if (perSecond === undefined) {
          logger.info("server no longer advertises a limit", fields);
        } else {
          logger.info("server advertised a limit", { ...fields, perSecond });
        }
      },
    );
  }
}
