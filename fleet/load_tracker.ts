import type { BackendId } from "../ids/mod.ts";
import type { FleetReport, ReportedLoad, ServerLoad } from "./fleet_report.ts";
import { ReportedOwnLoads } from "./reported_own_loads.ts";

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
 * Tracks the load of each backend server by calls in flight: those of this instance,
 * counted as they begin and complete, and those that other instances report.
 */
export class LoadTracker {
  readonly #own = new Map<BackendId, Sums>();
  readonly #reportedOwn = new ReportedOwnLoads();
  readonly #reports = new Map<string, Report>();
  /** Sums of the reports, by scope. */
  readonly #reported: Readonly<
    Record<Report["scope"], Map<BackendId, Sums>>
  > = { instance: new Map(), region: new Map() };
  /**
   * Loads of the local region as summarized by an aggregator, without the calls of this
   * instance. Used in place of the reports of the region's instances.
   */
  #summary: ReadonlyMap<BackendId, ServerLoad> | undefined;

  /** Returns the load of this instance's calls in flight, by server. */
  listOwn(): readonly ReportedLoad[] {
    return [...this.#own].map(([server, sums]) => ({ server, ...sums }));
  }

  /**
   * Returns the load of this instance's calls for a report, and remembers it.
   *
   * @param sequence Sequence number of the report.
   */
  recordOwn(sequence: number): readonly ReportedLoad[] {
    const loads = this.listOwn();
    this.#reportedOwn.remember(sequence, loads);
    return loads;
  }

  /**
   * Returns the loads by all instances of the local region, summed by server. Loads
   * that other regions report are left out: sent back to those regions, they would
   * count twice.
   */
  sumLocal(): readonly ReportedLoad[] {
    const sums = new Map<BackendId, Sums>();
    const local = [...this.#reports.values()]
      .filter(({ scope }) => scope === "instance")
      .flatMap(({ loads }) => loads);
    [...this.listOwn(), ...local].forEach((load) => {
      const sum = sums.get(load.server) ?? createSums();
      addTo(sum, load, 1);
      sums.set(load.server, sum);
    });
    return [...sums].map(([server, sum]) => ({ server, ...sum }));
  }

  /** Returns the number of this instance's calls in flight at a server. */
  readOwnCalls(server: BackendId): number {
    return this.#own.get(server)?.calls ?? 0;
  }

  /** Returns the load of a server by all known calls. */
  readTotal(server: BackendId): ServerLoad {
    const local = this.#summary ?? this.#reported.instance;
    const parts = [
      this.#own.get(server),
      local.get(server),
      this.#reported.region.get(server),
    ].filter((part) => part !== undefined);
    if (parts.length === 1) return parts[0]!;
    const total = createSums();
    parts.forEach((part) => addTo(total, part, 1));
    return total;
  }

  /**
   * Adds to the load of a server by this instance's calls.
   *
   * @param server Server that the calls are sent to.
   * @param change Load of calls that begin, or negated, of calls that complete.
   */
  addOwn(server: BackendId, change: ServerLoad): void {
    const sums = this.#own.get(server) ?? createSums();
    addTo(sums, change, 1);
    if (sums.calls === 0) this.#own.delete(server);
    else this.#own.set(server, sums);
  }

  /**
   * Replaces the last report of a sender.
   *
   * @param reporter Key of the sender: an instance or a region.
   * @param report Its loads, and whose calls they count.
   */
  replaceReport(reporter: string, report: Report): void {
    this.removeReport(reporter);
    this.#addReported(report, 1);
    this.#reports.set(reporter, report);
  }

  /**
   * Replaces the last summary of the local region. It is used in place of the reports
   * of the region's instances.
   *
   * @param loads Loads by all instances of the region, including this one.
   * @param sequence Sequence number of this instance's report that the loads include; 0: none.
   */
  replaceSummary(loads: readonly ReportedLoad[], sequence: number): void {
    const others = this.#reportedOwn.subtractOwn(loads, sequence);
    this.#summary = new Map(others.map((load) => [load.server, load]));
  }

  /** Drops the summary, so that the reports of the local region's instances are used again. */
  dropSummary(): void {
    this.#summary = undefined;
  }

  /** Removes the last report of a sender. */
  removeReport(reporter: string): void {
    const previous = this.#reports.get(reporter);
    if (previous === undefined) return;
    this.#addReported(previous, -1);
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
