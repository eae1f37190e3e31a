import type { BackendId } from "../ids/mod.ts";
import type { FleetReport, ReportedLoad, ServerLoad } from "./fleet_report.ts";

const NO_LOAD: ServerLoad = { calls: 0, pendingTokens: 0, memoryTokens: 0 };

interface Report {
  readonly scope: FleetReport["scope"];
  readonly loads: readonly ReportedLoad[];
}

interface Sums {
  calls: number;
  pendingTokens: number;
  memoryTokens: number;
}

/**
 * What is in flight at each backend server: own calls, counted as they start
 * and end, and those that others report.
 */
export class LoadBoard {
  readonly #own = new Map<BackendId, Sums>();
  readonly #reports = new Map<string, Report>();
  readonly #reported = new Map<BackendId, Sums>();

  /** Own calls in flight, by server. */
  listOwn(): readonly ReportedLoad[] {
    return [...this.#own].map(([server, sums]) => ({ server, ...sums }));
  }

  /**
   * What the instances of the own region have in flight, summed by server. What
   * other regions report is left out: told back to them, it would add up.
   */
  listNear(): readonly ReportedLoad[] {
    const sums = new Map<BackendId, Sums>();
    const near = [...this.#reports.values()]
      .filter(({ scope }) => scope === "instance")
      .flatMap(({ loads }) => loads);
    [...this.listOwn(), ...near].forEach((load) => {
      const sum = sums.get(load.server) ?? createSums();
      addTo(sum, load, 1);
      sums.set(load.server, sum);
    });
    return [...sums].map(([server, sum]) => ({ server, ...sum }));
  }

  /** Returns what all known calls hold at a server. */
  readTotal(server: BackendId): ServerLoad {
    const own = this.#own.get(server) ?? NO_LOAD;
    const reported = this.#reported.get(server);
    if (reported === undefined) return own;
    return {
      calls: own.calls + reported.calls,
      pendingTokens: own.pendingTokens + reported.pendingTokens,
      memoryTokens: own.memoryTokens + reported.memoryTokens,
    };
  }

  /**
   * Adds to the own load of a server.
   *
   * @param server Where.
   * @param change What begins, or with negative numbers what ends.
   */
  addOwn(server: BackendId, change: ServerLoad): void {
    const sums = this.#own.get(server) ?? createSums();
    addTo(sums, change, 1);
    if (sums.calls === 0) this.#own.delete(server);
    else this.#own.set(server, sums);
  }

  /**
   * Takes what a reporter says in place of what it said before.
   *
   * @param reporter Who says so.
   * @param report Its loads, and whose calls they count.
   */
  replaceReport(reporter: string, report: Report): void {
    this.removeReport(reporter);
    report.loads.forEach((load) => this.#addReported(load, 1));
    this.#reports.set(reporter, report);
  }

  /** Drops what a reporter has said. */
  removeReport(reporter: string): void {
    const before = this.#reports.get(reporter)?.loads ?? [];
    before.forEach((load) => this.#addReported(load, -1));
    this.#reports.delete(reporter);
  }

  #addReported(load: ReportedLoad, sign: 1 | -1): void {
    const sums = this.#reported.get(load.server) ?? createSums();
    addTo(sums, load, sign);
    if (sums.calls <= 0) this.#reported.delete(load.server);
    else this.#reported.set(load.server, sums);
  }
}

function createSums(): Sums {
  return { calls: 0, pendingTokens: 0, memoryTokens: 0 };
}

function addTo(sums: Sums, change: ServerLoad, sign: 1 | -1): void {
  sums.calls += sign * change.calls;
  sums.pendingTokens += sign * change.pendingTokens;
  sums.memoryTokens += sign * change.memoryTokens;
}
