import type { BackendId } from "../ids/mod.ts";
import type { ReportedLoad } from "./fleet_report.ts";
import { RememberedReports } from "./remembered_reports.ts";

/** Loads that this instance's last reports contained. */
export class ReportedOwnLoads {
  readonly #reports = new RememberedReports<readonly ReportedLoad[]>();

  /** Remembers the loads of a report by its sequence number. */
  remember(sequence: number, loads: readonly ReportedLoad[]): void {
    this.#reports.remember(sequence, loads);
  }

  /**
   * Returns the loads of a summary without those of this instance.
   *
   * @param loads Loads of the summary.
   * @param sequence Sequence number of this instance's report that the summary includes;
   * for a report that is not remembered, nothing is subtracted.
   */
  subtractOwn(
    loads: readonly ReportedLoad[],
    sequence: number,
  ): readonly ReportedLoad[] {
    const reported = this.#reports.find(sequence) ?? [];
    const own = new Map<BackendId, ReportedLoad>(
      reported.map((load) => [load.server, load]),
    );
    return loads.flatMap((load) => {
      const ownLoad = own.get(load.server);
      if (ownLoad === undefined) return [load];
      const calls = load.calls - ownLoad.calls;
      if (calls <= 0) return [];
      return [{
        server: load.server,
        calls,
        pendingTokens: Math.max(0, load.pendingTokens - ownLoad.pendingTokens),
        memoryTokens: Math.max(0, load.memoryTokens - ownLoad.memoryTokens),
      }];
    });
  }
}
