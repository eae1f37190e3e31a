import type { BackendId } from "../ids/mod.ts";
import type { ReportedLoad } from "./fleet_report.ts";

/** Reports whose loads are remembered: a member that is silent for as many is taken as gone. */
const REMEMBERED_REPORTS = 12;

/**
 * What this instance said of its own calls in its last reports. A summary counts
 * one of them, and names it, so that just that is taken out of the sum again: own
 * calls are known better here, and none counts twice or not at all.
 */
export class ToldLoads {
  readonly #bySequence = new Map<number, readonly ReportedLoad[]>();

  /** Remembers what a report says. */
  remember(sequence: number, loads: readonly ReportedLoad[]): void {
    this.#bySequence.set(sequence, loads);
    const [oldest] = this.#bySequence.keys();
    if (this.#bySequence.size > REMEMBERED_REPORTS) {
      this.#bySequence.delete(oldest!);
    }
  }

  /**
   * Returns the loads of a summary without what it counts of this instance.
   *
   * @param loads The summary's.
   * @param sequence The own report that it counts; unknown ones count nothing.
   */
  takeOut(
    loads: readonly ReportedLoad[],
    sequence: number,
  ): readonly ReportedLoad[] {
    const told = this.#bySequence.get(sequence) ?? [];
    const own = new Map<BackendId, ReportedLoad>(
      told.map((load) => [load.server, load]),
    );
    return loads.flatMap((load) => {
      const mine = own.get(load.server);
      if (mine === undefined) return [load];
      const calls = load.calls - mine.calls;
      if (calls <= 0) return [];
      return [{
        server: load.server,
        calls,
        pendingTokens: Math.max(0, load.pendingTokens - mine.pendingTokens),
        memoryTokens: Math.max(0, load.memoryTokens - mine.memoryTokens),
      }];
    });
  }
}
