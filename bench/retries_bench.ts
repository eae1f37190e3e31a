import { createRandom } from "../clock/mod.ts";
import type { Policies } from "../daemon/mod.ts";
import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { declareFleet, FLEET_MODEL } from "./fleet_resources.ts";
import {
  createSteadyArrivals,
  runTraffic,
  summarizeTraffic,
} from "./traffic.ts";

const DURATION_MS = 30_000;
const CALLS_PER_SECOND = 20;

/** Measures retries, and the ejection of failing engines. */
export async function runRetriesBench(): Promise<BenchResult> {
  const threeAttempts: Policies = {
    decideRetry: ({ attempts }) => attempts < 3,
  };
  const cases:
    readonly (readonly [string, string, number, number, Policies])[] = [
      ["one of 8 fails", "no retries", 1, 1, {
        decideRetry: () => false,
        neverEjects: true,
      }],
      ["one of 8 fails", "havenspur", 1, 1, {}],
      ["one of 8 fails half", "havenspur", 1, 0.5, {}],
      ["all fail", "always 3 tries", 8, 1, threeAttempts],
      ["all fail", "havenspur", 8, 1, {}],
      ["all fail half", "always 3 tries", 8, 0.5, threeAttempts],
      ["all fail half", "havenspur", 8, 0.5, {}],
    ];
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const [fault, name, failingCount, failShare, policies] of cases) {
    const run = await runFault(failingCount, failShare, policies);
    rows.push([
      fault,
      name,
      toCell(run.errorShare * 100, 2),
      toCell(run.amplification, 3),
      toCell(run.p95, 0),
    ]);
    const key = `${fault} ${name}`.replaceAll(/[^a-z0-9]+/g, "_");
    figures[`${key}_errors`] = run.errorShare;
    figures[`${key}_amplification`] = run.amplification;
  }
  return {
    head: ["FAULT", "POLICY", "ERRORS %", "ATTEMPTS PER CALL", "TTFT P95 MS"],
    rows,
    figures,
    notes: [
      "aims: under 1% errors with one failing engine; at most 1.1 attempts per call if all fail",
    ],
  };
}

async function runFault(
  failingCount: number,
  failShare: number,
  policies: Policies,
) {
  const fleet = new FakeFleet({ regions: ["r1"], policies });
  await fleet.clock.advance(3_000);
  await declareFleet(fleet, { engines: [{ region: "r1", fresh: 8, old: 0 }] });
  [...fleet.backend.engines.values()].slice(0, failingCount)
    .forEach((engine) => (engine.failShare = failShare));
  const random = createRandom(9);
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
      promptTokens: 100,
      outputTokens: 24,
      deadlineMs: 20_000,
      model: FLEET_MODEL,
    }),
  });
  const results = await runTraffic(fleet, arrivals);
  fleet.stop();
  const attempts = [...fleet.backend.engines.values()]
    .reduce((sum, { runs }) => sum + runs.length, 0);
  const summary = summarizeTraffic(results, DURATION_MS);
  return {
    errorShare: 1 - summary.answered / summary.calls,
    amplification: attempts / summary.calls,
    p95: summary.firstTokenP95,
  };
}
