import { createRandom } from "../clock/mod.ts";
import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { declareFleet, FLEET_MODEL } from "./fleet_resources.ts";
import {
  createSteadyArrivals,
  runTraffic,
  summarizeTraffic,
} from "./traffic.ts";

const DURATION_MS = 30_000;
/** Calls per second that the pool of this benchmark answers within the deadline. */
const CAPACITY_PER_SECOND = 30;
const LOADS = [0.5, 1, 2, 10];
const TEAMS = 4;
const DEADLINE_MS = 6_000;

/** Measures goodput, tail latency and refusals of admission at up to ten times the capacity. */
export async function runOverloadBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const admitsAll of [true, false]) {
    const name = admitsAll ? "admit all" : "havenspur";
    const goodputs: number[] = [];
    for (const load of LOADS) {
      const run = await runAtLoad(load, admitsAll);
      goodputs.push(run.all.goodput);
      const share = run.all.goodput / Math.max(...goodputs);
      rows.push([
        name,
        `${load} x`,
        toCell(run.all.goodput),
        toCell(run.interactive.firstTokenP50, 0),
        toCell(run.interactive.firstTokenP99, 0),
        toCell(run.refusalP50, 1),
        toCell(run.all.refusedShare * 100),
        toCell(run.fairness, 2),
      ]);
      const key = `${admitsAll ? "all" : "own"}_${load}x`;
      figures[`${key}_goodput`] = run.all.goodput;
      figures[`${key}_goodput_share`] = share;
      figures[`${key}_interactive_p99`] = run.interactive.firstTokenP99;
      figures[`${key}_false_not_run`] = run.falseNotRun;
    }
  }
  figures.own_over_all_10x = figures["own_10x_goodput"]! /
    Math.max(0.1, figures["all_10x_goodput"]!);
  return {
    head: [
      "POLICY",
      "LOAD",
      "GOODPUT /S",
      "TTFT P50 MS",
      "TTFT P99",
      "REFUSAL P50 MS",
      "REFUSED %",
      "MIN/MEAN TEAM",
    ],
    rows,
    figures,
    notes: [
      `${TEAMS} teams, one of which sends half of all calls; deadline ${DEADLINE_MS} ms; a third of the calls is batch`,
      "min/mean team: complete interactive answers, minimum of the teams over their mean",
    ],
  };
}

async function runAtLoad(load: number, admitsAll: boolean) {
  const fleet = new FakeFleet({ regions: ["r1"], policies: { admitsAll } });
  await fleet.clock.advance(3_000);
  await declareFleet(fleet, {
    engines: [{ region: "r1", fresh: 3, old: 2 }],
    teams: TEAMS,
  });
  const random = createRandom(11);
  const arrivals = createSteadyArrivals({
    random,
    rate: CAPACITY_PER_SECOND * load,
    daemons: 3,
    durationMs: DURATION_MS,
    create: (atMs, daemon) => ({
      atMs,
      daemon,
      team: random.nextFloat() < 0.5
        ? "team-0"
        : `team-${1 + Math.floor(random.nextFloat() * 3)}`,
      priority: random.nextFloat() < 0.67 ? "interactive" : "batch",
      promptTokens: 200 + Math.floor(random.nextFloat() * 400),
      outputTokens: 32 + Math.floor(random.nextFloat() * 32),
      deadlineMs: DEADLINE_MS,
      model: FLEET_MODEL,
    }),
  });
  const results = await runTraffic(fleet, arrivals);
  fleet.stop();
  const all = summarizeTraffic(results, DURATION_MS);
  const interactive = results.filter(({ arrival }) =>
    arrival.priority === "interactive"
  );
  const refusalTimesMs = results.filter(({ code }) => code === 1202).map((
    { totalMs },
  ) => totalMs)
    .sort((a, b) => a - b);
  const countComplete = (team: string) =>
    interactive.filter(({ arrival, isWhole }) =>
      arrival.team === team && isWhole
    ).length;
  const teams = Array.from(
    { length: TEAMS },
    (_, index) => countComplete(`team-${index}`),
  );
  const runCount = [...fleet.backend.engines.values()].reduce(
    (sum, { runs }) => sum + runs.length,
    0,
  );
  const notRunCount =
    results.filter(({ code }) => code >= 1_200 && code < 1_300).length;
  return {
    all,
    interactive: summarizeTraffic(interactive, DURATION_MS),
    refusalP50: refusalTimesMs[Math.floor(refusalTimesMs.length / 2)] ?? 0,
    fairness: Math.min(...teams) /
      (teams.reduce((sum, count) => sum + count, 0) / TEAMS),
    // Each call either runs on an engine or is refused as not run. A sum above the number of
    // calls means that a call was refused as not run although an engine ran it.
    falseNotRun: Math.max(0, runCount + notRunCount - results.length),
  };
}
