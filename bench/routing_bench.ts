import { createRandom, pickRandom } from "../clock/mod.ts";
import type { Policies } from "../daemon/mod.ts";
import { computeWeight } from "../membership/mod.ts";
import type { EngineModel, PickRequest } from "../routing/mod.ts";
import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { declareFleet, FLEET_MODEL } from "./fleet_resources.ts";
import {
  createSteadyArrivals,
  runTraffic,
  summarizeTraffic,
  type TrafficSummary,
} from "./traffic.ts";

const DURATION_MS = 40_000;
const CALLS_PER_SECOND = 30;
const SESSIONS = 120;
/** Price of a busy second of an old engine; one of a new engine costs 1. */
const OLD_ENGINE_PRICE = 0.4;

type PickEngine = NonNullable<Policies["pickEngine"]>;

function listUsable(
  { engines, excluded }: PickRequest,
): readonly EngineModel[] {
  return engines.filter(({ server }) =>
    !server.isLeaving && !excluded?.has(server.id)
  );
}

/**
 * Returns the policies to compare: simple baselines, and undefined for the
 * gateway's own choice.
 */
export function createPolicies(): Readonly<
  Record<string, PickEngine | undefined>
> {
  let nextIndex = 0;
  return {
    "random": (request) => pickRandom(listUsable(request), request.random),
    "round robin": (request) => {
      const usable = listUsable(request);
      return usable[nextIndex++ % usable.length];
    },
    "least reported": (request) =>
      listUsable(request).toSorted((a, b) =>
        a.estimateSequenceCount(0, request.nowMs) -
        b.estimateSequenceCount(0, request.nowMs)
      )[0],
    "prefix hash": (request) =>
      listUsable(request).toSorted((a, b) =>
        computeWeight(
          request.size.prefix ?? String(request.random.nextFloat()),
          b.server.id,
        ) -
        computeWeight(
          request.size.prefix ?? String(request.random.nextFloat()),
          a.server.id,
        )
      )[0],
    "havenspur": undefined,
    "havenspur, cost x 3": undefined,
  };
}

/** Measures the choice of engines among old and new hardware, with shared prefixes and delayed reports. */
export async function runRoutingBench(): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  const rows: string[][] = [];
  for (const [name, pickEngine] of Object.entries(createPolicies())) {
    const weights = name.includes("cost")
      ? { latency: 1, cost: 3 }
      : { latency: 1, cost: 0 };
    const { summary, hitShare, cost } = await runPolicy(pickEngine, weights);
    const key = name.replaceAll(" ", "_");
    figures[`${key}_p95`] = summary.firstTokenP95;
    figures[`${key}_p99`] = summary.firstTokenP99;
    figures[`${key}_cost`] = cost;
    rows.push([
      name,
      toCell(summary.firstTokenP50, 0),
      toCell(summary.firstTokenP95, 0),
      toCell(summary.firstTokenP99, 0),
      toCell(hitShare * 100),
      toCell(summary.refusedShare * 100),
      toCell(cost, 3),
    ]);
  }
  const baselines = ["random", "round_robin", "least_reported", "prefix_hash"];
  figures.p95_over_best_baseline = figures.havenspur_p95! /
    Math.min(...baselines.map((name) => figures[`${name}_p95`]!));
  return {
    head: [
      "POLICY",
      "TTFT P50 MS",
      "P95",
      "P99",
      "CACHE HIT %",
      "REFUSED %",
      "COST PER CALL",
    ],
    rows,
    figures,
    notes: [
      `${CALLS_PER_SECOND} calls per second over 3 daemons, 4 new and 4 old engines, ${SESSIONS} sessions`,
    ],
  };
}

async function runPolicy(
  pickEngine: PickEngine | undefined,
  weights: { readonly latency: number; readonly cost: number },
): Promise<
  {
    readonly summary: TrafficSummary;
    readonly hitShare: number;
    readonly cost: number;
  }
> {
  const fleet = new FakeFleet({
    regions: ["r1"],
    policies: pickEngine === undefined ? {} : { pickEngine },
  });
  await fleet.clock.advance(3_000);
  await declareFleet(fleet, {
    engines: [{ region: "r1", fresh: 4, old: 4 }],
    weights,
  });
  const random = createRandom(42);
  const arrivals = createSteadyArrivals({
    random,
    rate: CALLS_PER_SECOND,
    daemons: 3,
    durationMs: DURATION_MS,
    create: (atMs, daemon) => ({
      atMs,
      daemon,
      team: "team-0",
      priority: "interactive",
      promptTokens: 300 + Math.floor(random.nextFloat() * 1_200),
      outputTokens: 16 + Math.floor(random.nextFloat() * 48),
      prefix: `session-${Math.floor(random.nextFloat() ** 2 * SESSIONS)}`,
      deadlineMs: 30_000,
      model: FLEET_MODEL,
    }),
  });
  const results = await runTraffic(fleet, arrivals);
  fleet.stop();
  const counts = [...fleet.backend.engines.values()].map(({ core }) =>
    core.counts
  );
  const lookups = counts.reduce(
    (sum, { cacheLookups }) => sum + cacheLookups,
    0,
  );
  const hits = counts.reduce((sum, { cacheHits }) => sum + cacheHits, 0);
  const totalCost = counts.reduce(
    (sum, { busyMs }, index) =>
      sum + busyMs / 1_000 * (index < 4 ? 1 : OLD_ENGINE_PRICE),
    0,
  );
  return {
    summary: summarizeTraffic(results, DURATION_MS),
    hitShare: hits / lookups,
    cost: totalCost / results.length,
  };
}
