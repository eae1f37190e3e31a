import type { BackendId } from "../ids/mod.ts";
import type { FleetReport, ReportedLoad, ServerLoad } from "./fleet_report.ts";
import { ToldLoads } from "./told_loads.ts";

interface Report {
  readonly scope: Exclude<FleetReport["scope"], "summary">;
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
  readonly #told = new ToldLoads();
  readonly #reports = new Map<string, Report>();
  /** Sums of the reports, by whose calls they count. */
  readonly #reported: Readonly<
    Record<Report["scope"], Map<BackendId, Sums>>
  > = { instance: new Map(), region: new Map() };
  /** What an aggregator says of the own region, without own calls; it stands for its instances. */
  #summary: ReadonlyMap<BackendId, ServerLoad> | undefined;

  /** Own calls in flight, by server. */
  listOwn(): readonly ReportedLoad[] {
    return [...this.#own].map(([server, sums]) => ({ server, ...sums }));
  }

  /** Returns own calls in flight for a report, and remembers what it says. */
  takeOwn(sequence: number): readonly ReportedLoad[] {
    const loads = this.listOwn();
    this.#told.remember(sequence, loads);
    return loads;
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
    const near = this.#summary ?? this.#reported.instance;
    const parts = [
      this.#own.get(server),
      near.get(server),
      this.#reported.region.get(server),
    ].filter((part) => part !== undefined);
    if (parts.length === 1) return parts[0]!;
    const total = createSums();
    parts.forEach((part) => addTo(total, part, 1));
    return total;
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
    this.#addReported(report, 1);
    this.#reports.set(reporter, report);
  }

  /**
   * Takes what an aggregator says of the own region in place of what its instances
   * say themselves.
   *
   * @param loads Of all instances of the region, this one included.
   * @param sequence The own report that they count; 0: none.
   */
  replaceSummary(loads: readonly ReportedLoad[], sequence: number): void {
    const others = this.#told.takeOut(loads, sequence);
    this.#summary = new Map(others.map((load) => [load.server, load]));
  }

  /** Goes back to what the instances of the own region say themselves. */
  dropSummary(): void {
    this.#summary = undefined;
  }

  /** Drops what a reporter has said. */
  removeReport(reporter: string): void {
    const before = this.#reports.get(reporter);
    if (before === undefined) return;
    this.#addReported(before, -1);
    this.#reports.delete(reporter);
  }

  #addReported({ loads, scope }: Report, sign: 1 | -1): void {
    const byServer = this.#reported[scope];
    loads.forEach((load) => {
      const sums = byServer.get(load.server) ?? createSums();
      addTo(sums, load, sign);
      if (sums.calls <= 0) byServer.delete(load.server);
      else byServer.set(load.server, sums);
    });
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
