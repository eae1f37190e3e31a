import { createRandom } from "../clock/mod.ts";
import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { declareFleet, FLEET_MODEL } from "./fleet_resources.ts";
import { createArrivals, runTraffic } from "./traffic.ts";

const DURATION_MS = 60_000;
const LIMIT_PER_SECOND = 60;

/** Measures team limits over nine instances, with demand at all of them and at one alone. */
export async function runLimitsBench(): Promise<BenchResult> {
  const cases:
    readonly (readonly [string, (daemon: number, atMs: number) => number])[] = [
      ["spread, 3 x the limit", () => (LIMIT_PER_SECOND * 3) / 9],
      [
        "one instance, 0.9 x the limit",
        (daemon) => daemon === 0 ? LIMIT_PER_SECOND * 0.9 : 0,
      ],
      [
        "one instance, 3 x the limit",
        (daemon) => daemon === 0 ? LIMIT_PER_SECOND * 3 : 0,
      ],
      [
        "moves between instances, 0.9 x",
        (daemon, atMs) =>
          daemon === Math.floor(atMs / 6_000) * 2 % 9
            ? LIMIT_PER_SECOND * 0.9
            : 0,
      ],
      ["spread, 3 x, one region cut off", () => (LIMIT_PER_SECOND * 3) / 9],
    ];
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const [index, [name, rateOf]] of cases.entries()) {
    const run = await runCase(rateOf, name.includes("cut off"));
    rows.push([
      name,
      toCell(run.offered),
      toCell(run.admitted),
      toCell(run.overLimit * 100),
      toCell((run.admitted / Math.min(LIMIT_PER_SECOND, run.offered)) * 100),
      toCell(run.calls, 1),
    ]);
    figures[`case${index}_over_limit`] = run.admitted / LIMIT_PER_SECOND;
    figures[`case${index}_of_possible`] = run.admitted /
      Math.min(LIMIT_PER_SECOND, run.offered);
  }
  return {
    head: [
      "CASE",
      "OFFERED /S",
      "ADMITTED /S",
      "OVER LIMIT %",
      "OF POSSIBLE %",
      "PEER CALLS /S",
    ],
    rows,
    figures,
    notes: [
      `limit ${LIMIT_PER_SECOND} a second; aim: at most 5% above it, at least 90% of what is possible`,
    ],
  };
}

async function runCase(
  rateOf: (daemon: number, atMs: number) => number,
  isCut: boolean,
) {
  const fleet = new FakeFleet();
  await fleet.clock.advance(3_000);
  await declareFleet(fleet, {
    engines: ["r1", "r2", "r3"].map((region) => ({
      region,
      fresh: 12,
      old: 0,
    })),
    requestsPerSecond: LIMIT_PER_SECOND,
  });
  await fleet.clock.advance(8_000);
  if (isCut) {
    fleet.cutOff("r1");
    await fleet.clock.advance(5_000);
  }
  const before = [...fleet.network.counts.values()].reduce(
    (sum, { calls }) => sum + calls,
    0,
  );
  const random = createRandom(3);
  const arrivals = createArrivals({
    random,
    rateAt: (atMs, daemon) => rateOf(daemon, atMs),
    peakRate: LIMIT_PER_SECOND * 3,
    daemons: 9,
    durationMs: DURATION_MS,
    create: (atMs, daemon) => ({
      atMs,
      daemon,
      team: "team-0",
      priority: "interactive",
      promptTokens: 60,
      outputTokens: 2,
      deadlineMs: 20_000,
      model: FLEET_MODEL,
    }),
  });
  const results = await runTraffic(fleet, arrivals);
  const after = [...fleet.network.counts.values()].reduce(
    (sum, { calls }) => sum + calls,
    0,
  );
  fleet.stop();
  const seconds = DURATION_MS / 1_000;
  const admitted = results.filter(({ code }) => code !== 1201).length / seconds;
  return {
    offered: arrivals.length / seconds,
    admitted,
    overLimit: Math.max(0, admitted / LIMIT_PER_SECOND - 1),
    calls: (after - before) / seconds,
  };
}
