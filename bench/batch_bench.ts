import { createRandom } from "../clock/mod.ts";
import type { Policies } from "../daemon/mod.ts";
import { computeBatchThreshold } from "./compute_batch_threshold.ts";
import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { declareFleet, FLEET_MODEL } from "./fleet_resources.ts";
import {
  type Arrival,
  createSteadyArrivals,
  runTraffic,
  summarizeTraffic,
} from "./traffic.ts";

const DURATION_MS = 60_000;
const INTERACTIVE_CALLS_PER_SECOND = 6;
/** Bound on the 95th percentile of the time to the first token of interactive calls. */
const TARGET_P95_MS = 770;
const BATCH_ITEMS = 700;
/** Interactive calls that one sequence completes per second in this benchmark. */
const SERVED_PER_SECOND = 1.3;
/** Mean waiting time that the threshold of the paper's policy is computed for. */
const PAPER_MEAN_WAIT_MS = 77;

/** Compares policies that run batch items behind interactive calls, at the size of Atlas Folia's region. */
export async function runBatchBench(): Promise<BenchResult> {
  const policies: Readonly<Record<string, Policies>> = {
    "priority only": { computeThreshold: (servers) => servers * 10 },
    "fixed reserve of 0.3": {
      computeThreshold: (servers) => Math.floor(servers * 0.7),
    },
    "fixed reserve of 0.5": {
      computeThreshold: (servers) => Math.floor(servers * 0.5),
    },
    "threshold (paper, 3.4)": {
      computeThreshold: (servers) =>
        computeBatchThreshold({
          servers,
          arrivalsPerSecond: INTERACTIVE_CALLS_PER_SECOND,
          servedPerSecond: SERVED_PER_SECOND,
        }, PAPER_MEAN_WAIT_MS),
    },
    "steered (havenspur)": {},
  };
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const [name, policy] of Object.entries(policies)) {
    const run = await runPolicy(policy);
    rows.push([
      name,
      toCell(run.interactive.firstTokenP50, 0),
      toCell(run.interactive.firstTokenP95, 0),
      toCell(run.interactive.firstTokenP99, 0),
      toCell(run.batchPerSecond, 2),
      toCell(run.cost, 2),
    ]);
    const key = name.replaceAll(/[^a-z0-9]+/g, "_");
    figures[`${key}_p95`] = run.interactive.firstTokenP95;
    figures[`${key}_per_second`] = run.batchPerSecond;
    figures[`${key}_cost`] = run.cost;
  }
  figures.steered_p95_over_aim = figures["steered_havenspur__p95"]! /
    TARGET_P95_MS;
  figures.steered_items_over_half = figures["steered_havenspur__per_second"]! /
    figures["fixed_reserve_of_0_5_per_second"]!;
  return {
    head: [
      "POLICY",
      "INTERACTIVE TTFT P50 MS",
      "P95",
      "P99",
      "BATCH ITEMS /S",
      "ENGINE SECONDS X PRICE PER ITEM",
    ],
    rows,
    figures,
    notes: [
      `${INTERACTIVE_CALLS_PER_SECOND} interactive calls a second, ${BATCH_ITEMS} waiting batch items, ` +
      "1 new and 1 old engine",
    ],
  };
}

async function runPolicy(policies: Policies) {
  const fleet = new FakeFleet({ regions: ["r1"], policies });
  await fleet.clock.advance(3_000);
  await declareFleet(fleet, {
    engines: [{ region: "r1", fresh: 1, old: 1 }],
    weights: { latency: 1, cost: 3 },
  });
  const random = createRandom(5);
  const interactive = createSteadyArrivals({
    random,
    rate: INTERACTIVE_CALLS_PER_SECOND,
    daemons: 3,
    durationMs: DURATION_MS,
    create: (atMs, daemon) => ({
      ...createCall(atMs, daemon),
      priority: "interactive",
      promptTokens: 100 + Math.floor(random.nextFloat() * 200),
      outputTokens: 24,
    }),
  });
  // All items arrive within 300 ms, as from batch workers that each keep some in flight.
  const batch = Array.from({ length: BATCH_ITEMS }, (_, index): Arrival => ({
    ...createCall((index % 60) * 5, index % 3),
    priority: "batch",
    promptTokens: 300,
    outputTokens: 48,
  }));
  const arrivals = [...interactive, ...batch].sort((a, b) => a.atMs - b.atMs);
  const results = await runTraffic(fleet, arrivals, 1_000);
  fleet.stop();
  const done = results.filter(({ arrival, isWhole }) =>
    arrival.priority === "batch" && isWhole
  );
  const prices = [1, 0.4];
  const spent = [...fleet.backend.engines.values()]
    .reduce(
      (sum, { core }, index) =>
        sum + core.counts.busyMs / 1_000 * prices[index]!,
      0,
    );
  return {
    interactive: summarizeTraffic(
      results.filter(({ arrival }) => arrival.priority === "interactive"),
      DURATION_MS,
    ),
    batchPerSecond: done.length / ((DURATION_MS + 1_000) / 1_000),
    cost: spent / Math.max(1, done.length),
  };
}

function createCall(atMs: number, daemon: number) {
  return {
    atMs,
    daemon,
    team: "team-0",
    deadlineMs: 600_000,
    model: FLEET_MODEL,
  };
}
