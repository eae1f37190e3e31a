import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type {
  EvidenceRow,
  LogSums,
  RolloutEvent,
  RolloutPhase,
  RolloutRecord,
  RolloutReport,
} from "../rollouts/mod.ts";

/** Values of the metric of a phase. */
const PHASE_VALUES: Readonly<Record<RolloutPhase, number>> = {
  trial: 1,
  ramp: 2,
  switch: 3,
  completed: 4,
  "rolled-back": 5,
};
/** Maximum number of routes in a log line; those with the most failures come first. */
const MAX_LOGGED_ROUTES = 12;
/** Maximum number of log lines about one order. A rollout has at most seven events at an instance. */
const MAX_LINES_PER_ORDER = 24;
/** Maximum number of orders whose lines are counted. */
const MAX_COUNTED_ORDERS = 32;

/** Counters of one route, for the versions in force and for the version of the order. */
export interface RouteSummary {
  readonly route: string;
  readonly old: SideSummary;
  readonly new: SideSummary;
}

/** Counters of one version of a service. */
export interface SideSummary {
  readonly responses: number;
  readonly failures: number;
  /** Geometric mean of the time to first byte, in milliseconds; `undefined`: no response. */
  readonly firstByteMs: number | undefined;
  /** Geometric mean of the longest gaps of streams, in milliseconds; `undefined`: no stream. */
  readonly gapMs: number | undefined;
}

/** Constructor arguments of {@linkcode RolloutObserver}. */
export interface RolloutObserverParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the time since another instance's last report, in milliseconds. */
  readonly readReportAgeMs: () => number;
}

/** Writes the log lines and metrics of rollouts. */
export class RolloutObserver {
  readonly #parts: RolloutObserverParts;
  readonly #lineCounts = new Map<string, number>();

  /** @param parts Log, metrics and the age of what was reported. */
  constructor(parts: RolloutObserverParts) {
    this.#parts = parts;
  }

  /** Logs an event of an order. */
  observe(event: RolloutEvent): void {
    const { logger, metrics, readReportAgeMs } = this.#parts;
    const id = event.kind === "ordered" ? event.order.id : event.id;
    if (event.kind === "found-bad") {
      const { service } = event;
      metrics.count("rollout.found_bad", 1, { service });
    }
    if (!this.#mayLog(id)) return;
    switch (event.kind) {
      case "ordered": {
        const { destination, durationMs, service } = event.order;
        logger.info("rollout ordered", {
          service,
          order: id,
          destination,
          durationMs,
        });
        return;
      }
      case "phase":
        logger.info("rollout phase", {
          service: event.service,
          order: id,
          phase: event.phase,
          reason: event.reason,
          reportAgeMs: Math.round(readReportAgeMs()),
          routes: formatRoutes(event.evidence),
        });
        return;
      case "found-bad":
        logger.warn("rollout version found bad", {
          service: event.service,
          order: id,
          reason: event.reason,
          reportAgeMs: Math.round(readReportAgeMs()),
          routes: formatRoutes(event.evidence),
        });
    }
  }

  /**
   * Sets the gauges.
   *
   * @param records Records of all services that had an order.
   * @param reports What this instance has counted for the orders that run.
   */
  measure(
    records: readonly RolloutRecord[],
    reports: readonly RolloutReport[],
  ): void {
    const { metrics } = this.#parts;
    records.forEach(({ order, service }) => {
      if (order === undefined) return;
      const tags = { service, version: order.destination };
      metrics.gauge("rollout.phase", PHASE_VALUES[order.phase], tags);
    });
    reports.forEach(({ evidence, previousCalls, service }) => {
      metrics.gauge("rollout.previous_calls", previousCalls, { service });
      const [inForce, ordered] = splitBySubject(evidence);
      const versions = { "in-force": inForce, ordered };
      Object.entries(versions).forEach(([version, rows]) => {
        const { failures, responses } = summarizeSide(rows);
        metrics.gauge("rollout.responses", responses - failures, {
          service,
          version,
          result: "good",
        });
        metrics.gauge("rollout.responses", failures, {
          service,
          version,
          result: "failed",
        });
      });
    });
  }

  #mayLog(id: string): boolean {
    const count = (this.#lineCounts.get(id) ?? 0) + 1;
    this.#lineCounts.set(id, count);
    const [oldest] = this.#lineCounts.keys();
    if (this.#lineCounts.size > MAX_COUNTED_ORDERS) {
      this.#lineCounts.delete(oldest!);
    }
    return count <= MAX_LINES_PER_ORDER;
  }
}

/** Returns the counters as text: per route, responses/failures and mean times of both versions. */
function formatRoutes(evidence: readonly EvidenceRow[]): string {
  return summarizeRoutes(evidence).slice(0, MAX_LOGGED_ROUTES).map((summary) =>
    `${summary.route}: old ${formatSide(summary.old)}, ` +
    `new ${formatSide(summary.new)}`
  ).join("; ");
}

function formatSide(
  { failures, firstByteMs, gapMs, responses }: SideSummary,
): string {
  const times = [
    firstByteMs === undefined ? [] : [`first byte ${firstByteMs} ms`],
    gapMs === undefined ? [] : [`gap ${gapMs} ms`],
  ].flat();
  return [`${failures} of ${responses} failed`, ...times].join(" ");
}

/**
 * Returns the counters of each route, for both versions.
 *
 * @param evidence Counters by route and server.
 */
export function summarizeRoutes(
  evidence: readonly EvidenceRow[],
): readonly RouteSummary[] {
  const routes = [...new Set(evidence.map(({ route }) => route))];
  return routes.map((route): RouteSummary => {
    const rows = evidence.filter((row) => row.route === route);
    const [inForce, ordered] = splitBySubject(rows);
    return { route, old: summarizeSide(inForce), new: summarizeSide(ordered) };
  }).sort((a, b) => b.new.failures - a.new.failures);
}

/** Returns the rows of the versions in force, and those of the servers of the order's version. */
function splitBySubject(
  rows: readonly EvidenceRow[],
): readonly [readonly EvidenceRow[], readonly EvidenceRow[]] {
  return [
    rows.filter(({ subject }) => subject === "in-force"),
    rows.filter(({ subject }) => subject !== "in-force"),
  ];
}

function summarizeSide(rows: readonly EvidenceRow[]): SideSummary {
  return {
    responses: rows.reduce((sum, { responses }) => sum + responses, 0),
    failures: rows.reduce((sum, { failures }) => sum + failures, 0),
    firstByteMs: computeMeanMs(rows.map(({ firstByte }) => firstByte)),
    gapMs: computeMeanMs(rows.map(({ gap }) => gap)),
  };
}

function computeMeanMs(sums: readonly LogSums[]): number | undefined {
  const count = sums.reduce((total, each) => total + each.count, 0);
  const sum = sums.reduce((total, each) => total + each.sum, 0);
  return count === 0 ? undefined : Math.round(Math.exp(sum / count));
}
