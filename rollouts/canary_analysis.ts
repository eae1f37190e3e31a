import type { BackendId } from "../ids/mod.ts";
import {
  type CanaryTest,
  SEQUENTIAL_TEST,
  type Stratum,
} from "./canary_statistics.ts";
import { addRows, createRow } from "./evidence.ts";
import type { EvidenceRow, LogSums } from "./rollout_types.ts";
import type {
  ExcessHypotheses,
  MeanSample,
  ShareSample,
} from "./probability_ratio.ts";

/** What is found of a version. */
export interface CanaryVerdict {
  /** Measure and route on which the version is bad. Default: not found bad. */
  readonly badReason?: string;
  /** Whether some measure speaks against the version without being a finding. */
  readonly isSuspicious: boolean;
  /** Whether there are enough responses, on each route, to call it good. */
  readonly isCovered: boolean;
  /** Servers that look faulty by themselves. */
  readonly suspects: readonly BackendId[];
}

/** Responses of the destination from which it can be judged good. */
export const MIN_RESPONSES = 30;
/**
 * The same on each route. With 8, of which the worst server is left out, 1 in 40 versions that
 * fail 60% of the calls of one route passes the canary.
 */
const MIN_ROUTE_RESPONSES = 12;
/** Part of a rare route's responses in force that the canary must have got, if that is less. */
const RARE_ROUTE_SHARE = 0.25;
/** Score from which a single server is avoided: a tenth of the orders of magnitude of a finding. */
const SUSPECT_SCORE = 0.5;
/** Responses from which durations are judged: the first ones of a server pay for cold caches. */
const MIN_DURATIONS = 8;
/** Fewer durations are a suspicion at most, from this number on. */
const MIN_SUSPECT_DURATIONS = 5;
const MAX_SUSPICION = 0.99;
/**
 * Limits on the weight of durations. Servers of one version differ in speed, so that
 * many responses of few servers tell less than as many independent ones.
 */
const MAX_MEAN_COUNT = 30;
const MAX_SLOW_COUNT = 100;

/** A good version may fail a little more often, as one of its servers may be faulty. */
const FAILURES: ExcessHypotheses = { good: 0.02, bad: 0.1 };
/** Logarithms of 1.5 and 2.5: caches are cold, and servers of one version differ in speed. */
const MEAN_LOGS: ExcessHypotheses = {
  good: Math.log(1.5),
  bad: Math.log(2.5),
};
const SLOW: ExcessHypotheses = { good: 0.06, bad: 0.25 };

interface Measure {
  readonly name: string;
  readonly isDuration: boolean;
  readonly score: (strata: readonly RowPair[], test: CanaryTest) => number;
}

/** Rows of one route: of canary servers together, and of the versions in force. */
type RowPair = Stratum<EvidenceRow>;

const MEASURES: readonly Measure[] = [
  {
    name: "failures",
    isDuration: false,
    score: (pairs, test) =>
      test.compareShares(
        pairs.map((pair) => mapPair(pair, toFailures)),
        FAILURES,
        Infinity,
      ),
  },
  ...(["firstByte", "gap"] as const).flatMap((field): readonly Measure[] => [
    {
      name: `${field} mean`,
      isDuration: true,
      score: (pairs, test) =>
        limitScore(
          pairs,
          field,
          test.compareMeans(
            pairs.map((pair) => mapPair(pair, (row): MeanSample => row[field])),
            MEAN_LOGS,
            MAX_MEAN_COUNT,
          ),
        ),
    },
    {
      name: `${field} slow`,
      isDuration: true,
      score: (pairs, test) =>
        limitScore(
          pairs,
          field,
          test.compareShares(
            pairs.map((pair) => mapPair(pair, (row) => toSlow(row[field]))),
            SLOW,
            MAX_SLOW_COUNT,
          ),
        ),
    },
  ]),
];

/**
 * Compares a version with the versions in force, by route and over all routes, stratified
 * by route so that another mix of routes is no difference. A finding must hold without the
 * server that looks worst, unless the destination has only one: one server may be faulty
 * although its version is good. The canary moves on from
 * servers that look faulty, so that there are others to compare.
 *
 * @param rows Sums of the evidence by route and subject.
 * @param hasOtherServers Whether the destination has more than one server.
 * @param test Statistical test. Default: `SEQUENTIAL_TEST`.
 */
export function analyzeCanary(
  rows: readonly EvidenceRow[],
  hasOtherServers: boolean,
  test: CanaryTest = SEQUENTIAL_TEST,
): CanaryVerdict {
  const baselines = new Map(
    rows.filter(({ subject }) => subject === "in-force")
      .map((row) => [row.route, row]),
  );
  const canaryRows = rows.filter(({ subject }) => subject !== "in-force");
  const routes = [...new Set(canaryRows.map(({ route }) => route))];
  const scopes = [undefined, ...(routes.length > 1 ? routes : [])];
  let badReason: string | undefined;
  let isSuspicious = false;
  const suspects = new Set<BackendId>();
  for (const scope of scopes) {
    const scoped = scope === undefined
      ? canaryRows
      : canaryRows.filter(({ route }) => route === scope);
    const servers = groupByServer(scoped);
    for (const { isDuration, name, score } of MEASURES) {
      const scores = servers.map((server) => ({
        id: server.id,
        score: score(toPairs(server.rows, baselines), test),
      }));
      scores.filter(({ score }) => score >= SUSPECT_SCORE)
        .forEach(({ id }) => suspects.add(id));
      const worst = scores.reduce<(typeof scores)[number] | undefined>(
        (max, each) => max === undefined || each.score > max.score ? each : max,
        undefined,
      );
      const others = hasOtherServers
        ? scoped.filter(({ subject }) => subject !== worst?.id)
        : scoped;
      const value = score(toPairs(others, baselines), test);
      // The servers beside the slowest one may be the fastest of their version.
      const isSlow = isDuration && score(toPairs(scoped, baselines), test) > 0;
      if (value > 0 || isSlow) isSuspicious = true;
      if (value >= 1) badReason ??= `${name} on ${scope ?? "all routes"}`;
    }
  }
  return {
    ...(badReason === undefined ? {} : { badReason }),
    isSuspicious,
    isCovered: isCovered(baselines, canaryRows),
    suspects: [...suspects],
  };
}

function isCovered(
  baselines: ReadonlyMap<string, EvidenceRow>,
  canaryRows: readonly EvidenceRow[],
): boolean {
  const count = (route?: string) =>
    canaryRows.filter((row) => route === undefined || row.route === route)
      // Responses of cold servers tell nothing of durations.
      .reduce((sum, row) => sum + row.failures + row.firstByte.count, 0);
  return count() >= MIN_RESPONSES &&
    [...baselines.values()].every(({ responses, route }) => {
      const required = Math.min(
        MIN_ROUTE_RESPONSES,
        Math.floor(responses * RARE_ROUTE_SHARE),
      );
      return count(route) >= required;
    });
}

function groupByServer(rows: readonly EvidenceRow[]) {
  const groups = new Map<BackendId, EvidenceRow[]>();
  rows.forEach((row) => {
    const id = row.subject as BackendId;
    const group = groups.get(id);
    if (group === undefined) groups.set(id, [row]);
    else group.push(row);
  });
  return [...groups].map(([id, rows]) => ({ id, rows }));
}

/** Returns one pair for each route, with the sum of the canary's rows. */
function toPairs(
  rows: readonly EvidenceRow[],
  baselines: ReadonlyMap<string, EvidenceRow>,
): readonly RowPair[] {
  const sums = new Map<string, EvidenceRow>();
  rows.forEach((row) => {
    const known = sums.get(row.route);
    sums.set(row.route, known === undefined ? row : addRows(known, row));
  });
  return [...sums.values()].map((canary) => ({
    canary,
    baseline: baselines.get(canary.route) ??
      createRow(canary.route, "in-force"),
  }));
}

function mapPair<Sample>(
  { baseline, canary }: RowPair,
  toSample: (row: EvidenceRow) => Sample,
): Stratum<Sample> {
  return { canary: toSample(canary), baseline: toSample(baseline) };
}

function toFailures({ failures, responses }: EvidenceRow): ShareSample {
  return { trials: responses, hits: failures };
}

function toSlow({ count, slow }: LogSums): ShareSample {
  return { trials: count, hits: slow };
}

/** Limits what a score of few durations says. */
function limitScore(
  pairs: readonly RowPair[],
  field: "firstByte" | "gap",
  score: number,
): number {
  const count = pairs.reduce((sum, { canary }) => sum + canary[field].count, 0);
  if (count < MIN_SUSPECT_DURATIONS) return 0;
  return count < MIN_DURATIONS ? Math.min(score, MAX_SUSPICION) : score;
}
