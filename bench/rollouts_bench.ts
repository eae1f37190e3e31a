import {
  type CanaryTest,
  REPEATED_TEST,
  SEQUENTIAL_TEST,
} from "../rollouts/mod.ts";
import { type BenchResult, computeQuantile, toCell } from "./bench_case.ts";
import type { RolloutCase, RolloutResult } from "./rollouts_case.ts";
import { RolloutFleetSim } from "./rollouts_fleet.ts";
import type { BadKind, Fault } from "./rollouts_servers.ts";

const BAD_KINDS: readonly BadKind[] = [
  "fails-30%",
  "fails-15%",
  "truncates-25%",
  "slow-3x",
  "slow-4x-part",
  "fails-later",
  "slow-later",
  "fails-under-load",
  "fails-common-route",
  "fails-rarest-route",
  "slow-rarest-route",
  "gaps-4x",
];
const FAULTS: readonly Fault[] = [
  "none",
  "new-server-crashes",
  "old-server-crashes",
  "new-server-fails",
  "new-server-slow",
  "responses-lost",
  "reports-lost",
  "store-down",
  "instances-restart",
  "all-restart",
  "region-cut",
];

interface Size {
  readonly instances: number;
  readonly callsPerSecond: number;
  readonly serversPerRegion: number;
  /** Good orders with each fault, and bad ones of each kind. */
  readonly goodSeeds: number;
  readonly badSeeds: number;
}

/**
 * Factor of the number of seeds, from the environment variable `ROLLOUT_SEEDS`. Default: 1,
 * with which the benchmark takes some minutes.
 */
const SEED_FACTOR = Number(process.env.ROLLOUT_SEEDS ?? 1);
/** Numbers of instances to run, separated by commas. Default: all. */
const CHOSEN_SIZES = process.env.ROLLOUT_SIZES?.split(",").map(Number);
const SIZES: readonly Size[] = [
  {
    instances: 9,
    callsPerSecond: 150,
    serversPerRegion: 4,
    goodSeeds: 10,
    badSeeds: 20,
  },
  {
    instances: 60,
    callsPerSecond: 600,
    serversPerRegion: 20,
    goodSeeds: 3,
    badSeeds: 4,
  },
  {
    instances: 300,
    callsPerSecond: 2_000,
    serversPerRegion: 40,
    goodSeeds: 1,
    badSeeds: 1,
  },
];

/** Runs seeded orders of good and bad versions beside faults, with both tests at 9 instances. */
export function runRolloutsBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const size of SIZES) {
    if (CHOSEN_SIZES?.includes(size.instances) === false) continue;
    const tests = size.instances === 9
      ? [SEQUENTIAL_TEST, REPEATED_TEST]
      : [SEQUENTIAL_TEST];
    for (const test of tests) addCases(size, test, rows, figures);
  }
  return Promise.resolve({
    head: [
      "INSTANCES, TEST",
      "CASE",
      "ORDERS",
      "COMPLETED",
      "EXPOSURE max",
      "ROLLBACK ms p50/max",
      "AFTER 50th BAD ms max",
      "COMPLETE ms p50/max",
    ],
    rows,
    figures,
    notes: [
      "exposure: sends to the new version from the order to its deadline, over share and slack, of bad versions",
      "rollback: from the order to the record; bad versions of every kind take turns with the faults",
    ],
  });
}

function addCases(
  size: Size,
  test: CanaryTest,
  rows: string[][],
  figures: Record<string, number>,
): void {
  const label = `${size.instances}, ${test.name}`;
  const key = `${test === SEQUENTIAL_TEST ? "sprt" : "z"}_${size.instances}`;
  const run = (kind: BadKind, fault: Fault, seed: number) =>
    runCase({ ...size, kind, fault, seed, canaryTest: test });
  const listSeeds = (count: number) =>
    Array.from({ length: Math.ceil(count * SEED_FACTOR) }, (_, seed) => seed);
  const good = FAULTS.flatMap((fault, at) => {
    const results = listSeeds(size.goodSeeds)
      .map((seed) => run("good", fault, seed * 100 + at));
    rows.push([label, `good, ${fault}`, ...toCells(results, false)]);
    return results;
  });
  const bad = BAD_KINDS.flatMap((kind, at) => {
    const results = listSeeds(size.badSeeds).map((seed) =>
      run(kind, FAULTS[(seed + at) % FAULTS.length]!, seed * 100 + 50 + at)
    );
    rows.push([label, kind, ...toCells(results, true)]);
    return results;
  });
  rows.push([label, "all good", ...toCells(good, false)]);
  rows.push([label, "all bad", ...toCells(bad, true)]);
  figures[`${key}_good_orders`] = good.length;
  figures[`${key}_good_completed`] = countCompleted(good);
  figures[`${key}_bad_orders`] = bad.length;
  figures[`${key}_bad_completed`] = countCompleted(bad);
  figures[`${key}_exposure_max`] = maxOf(bad, "exposureUsed");
  figures[`${key}_after_50th_ms_max`] = maxOf(bad, "rollbackMs");
  figures[`${key}_previous_calls_max`] = maxOf(
    good.filter(({ state }) => state === "completed"),
    "previousCalls",
  );
}

function runCase(parts: RolloutCase): RolloutResult {
  const result = new RolloutFleetSim(parts).run();
  const isExpected = parts.kind === "good"
    ? result.state === "completed"
    : result.state === "rolled-back" && result.exposureUsed <= 1;
  if (!isExpected && process.env.ROLLOUT_VERBOSE !== undefined) {
    const { fault, instances, kind, seed } = parts;
    console.error(
      `${instances} ${parts.canaryTest?.name} ${kind} ${fault} ${seed}: ${
        JSON.stringify(result)
      }`,
    );
  }
  return result;
}

function toCells(results: readonly RolloutResult[], isBad: boolean): string[] {
  const endsOf = (state: RolloutResult["state"]) =>
    results.filter((result) => result.state === state)
      .map(({ endMs }) => endMs);
  return [
    `${results.length}`,
    `${countCompleted(results)}`,
    isBad ? toCell(maxOf(results, "exposureUsed"), 2) : "-",
    formatTimes(endsOf("rolled-back")),
    isBad ? toCell(maxOf(results, "rollbackMs"), 0) : "-",
    formatTimes(endsOf("completed")),
  ];
}

function countCompleted(results: readonly RolloutResult[]): number {
  return results.filter(({ state }) => state === "completed").length;
}

function maxOf(
  results: readonly RolloutResult[],
  field: "exposureUsed" | "rollbackMs" | "previousCalls",
): number {
  return Math.max(0, ...results.map((result) => result[field]));
}

function formatTimes(values: readonly number[]): string {
  if (values.length === 0) return "-";
  return `${toCell(computeQuantile(values, 0.5), 0)}/${
    toCell(Math.max(...values), 0)
  }`;
}
