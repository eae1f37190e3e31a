import type { FleetReport, ReportedLimit } from "../fleet/mod.ts";
import type { LimitSource, ServerLimits } from "../forwarding/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";

/** What news of limits are told from and learned into. */
export interface LimitNewsParts {
  readonly ownRegion: RegionId;
  readonly limits: ServerLimits;
  readonly logger: Logger;
}

/** What reports tell of the limits that servers name. */
export class LimitNews {
  readonly #parts: LimitNewsParts;

  /** @param parts Limits, and who is told of news. */
  constructor(parts: LimitNewsParts) {
    this.#parts = parts;
  }

  /** Returns the rows of a report. */
  list(
    scope: FleetReport["scope"],
    nowMs: number,
  ): readonly ReportedLimit[] {
    const of = scope === "instance" ? "instance" : "region";
    return this.#parts.limits.listReported(of, nowMs);
  }

  /** Takes the rows of another instance's report. */
  learn({ from, limits = [], scope }: FleetReport, nowMs: number): void {
    if (limits.length === 0) return;
    const { limits: known, logger, ownRegion } = this.#parts;
    const isOwnWord = scope === "instance" && from.region === ownRegion;
    const source: LimitSource = isOwnWord ? "member" : "summary";
    known.learn(limits, source, nowMs).forEach(({ perSecond, server }) => {
      const told = { server, toldBy: from.id };
      if (perSecond === undefined) logger.info("server names no limit", told);
      else logger.info("server names a limit", { ...told, perSecond });
    });
  }
}
