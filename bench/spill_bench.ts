import { createRandom } from "../clock/mod.ts";
import type { Policies } from "../daemon/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { declareFleet, FLEET_MODEL } from "./fleet_resources.ts";
import {
  createArrivals,
  runTraffic,
  summarizeTraffic,
  type TrafficSummary,
} from "./traffic.ts";

const DURATION_MS = 40_000;
const BASE_CALLS_PER_SECOND = 5;
const REGIONS = ["r1", "r2", "r3"];

/** Load and faults of a run of the benchmark. */
interface Scenario {
  readonly name: string;
  /** Returns the factor on the base rate of calls of a region at a time. */
  readonly readRateFactor: (region: number, atMs: number) => number;
  /** Schedules the faults of the run. */
  readonly scheduleFaults: (fleet: FakeFleet) => void;
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: "rush",
    readRateFactor: (region, atMs) =>
      region === 0 && atMs > 8_000 && atMs < 30_000 ? 5 : 1,
    scheduleFaults: () => {},
  },
  {
    name: "capacity loss",
    readRateFactor: () => 1.4,
    scheduleFaults: (fleet) => {
      const engines = [...fleet.backend.engines.values()].filter(({ region }) =>
        region === "r1"
      );
      fleet.clock.schedule(
        10_000,
        () =>
          engines.slice(0, 3).forEach((engine) => {
            engine.isDown = true;
            engine.core.reset();
          }),
      );
      fleet.clock.schedule(
        28_000,
        () => engines.forEach((engine) => (engine.isDown = false)),
      );
    },
  },
  {
    name: "partition",
    readRateFactor: (region) => region === 0 ? 2.5 : 1,
    scheduleFaults: (fleet) => {
      fleet.clock.schedule(12_000, () => {
        fleet.cutOff("r1");
      });
      fleet.clock.schedule(26_000, () => {
        fleet.rejoin("r1");
      });
    },
  },
  {
    name: "shifted peaks",
    readRateFactor: (region, atMs) =>
      2 +
      1.8 *
        Math.sin((2 * Math.PI * atMs) / 20_000 + (2 * Math.PI * region) / 3),
    scheduleFaults: () => {},
  },
];

/**
 * Measures the choice between home and remote regions under a rush, a loss of
 * capacity, a partition, and peaks at different times.
 */
export async function runSpillBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const scenario of SCENARIOS) {
    const leastLoaded = await runScenario(scenario, "least");
    const homeOnly = await runScenario(scenario, "home");
    const own = await runScenario(scenario, "own");
    const key = scenario.name.replaceAll(" ", "_");
    const addRow = (name: string, summary: TrafficSummary) =>
      rows.push([
        scenario.name,
        name,
        toCell(summary.firstTokenP50, 0),
        toCell(summary.firstTokenP95, 0),
        toCell(summary.firstTokenP99, 0),
        toCell(summary.awayShare * 100),
        toCell(summary.refusedShare * 100),
        toCell(summary.brokenShare * 100),
      ]);
    addRow("home only", homeOnly);
    addRow("global least loaded", leastLoaded);
    addRow("havenspur", own);
    figures[`${key}_p95_over_least`] = own.firstTokenP95 /
      Math.max(1, leastLoaded.firstTokenP95);
    figures[`${key}_away_over_least`] = own.awayShare /
      Math.max(0.001, leastLoaded.awayShare);
    figures[`${key}_p95_over_home`] = own.firstTokenP95 /
      Math.max(1, homeOnly.firstTokenP95);
  }
  return {
    head: [
      "SCENARIO",
      "POLICY",
      "TTFT P50 MS",
      "P95",
      "P99",
      "AWAY %",
      "REFUSED %",
      "BROKEN %",
    ],
    rows,
    figures,
    notes: [
      "global least loaded reads the current load of each engine, without delay and without credits",
      "aim: p95 at most 1.1 times that of global least loaded, with less than a third of its share sent away",
    ],
  };
}

async function runScenario(
  scenario: Scenario,
  policy: "home" | "least" | "own",
): Promise<TrafficSummary> {
  const fleetHolder: { fleet?: FakeFleet } = {};
  const fleet = new FakeFleet({
    policies: createPolicies(policy, fleetHolder),
  });
  fleetHolder.fleet = fleet;
  await fleet.clock.advance(3_000);
  await declareFleet(fleet, {
    engines: REGIONS.map((region) => ({ region, fresh: 3, old: 1 })),
  });
  const random = createRandom(7);
  const arrivals = createArrivals({
    random,
    rateAt: (atMs, daemon) =>
      BASE_CALLS_PER_SECOND / 3 * 1.5 *
      scenario.readRateFactor(Math.floor(daemon / 3), atMs),
    peakRate: BASE_CALLS_PER_SECOND / 3 * 1.5 * 5,
    daemons: 9,
    durationMs: DURATION_MS,
    create: (atMs, daemon) => ({
      atMs,
      daemon,
      team: "team-0",
      priority: "interactive",
      promptTokens: 200 + Math.floor(random.nextFloat() * 600),
      outputTokens: 32 + Math.floor(random.nextFloat() * 64),
      prefix: `session-${Math.floor(daemon / 3)}-${
        Math.floor(random.nextFloat() * 40)
      }`,
      deadlineMs: 30_000,
      model: FLEET_MODEL,
    }),
  });
  scenario.scheduleFaults(fleet);
  const results = await runTraffic(fleet, arrivals);
  fleet.stop();
  return summarizeTraffic(results, DURATION_MS);
}

function createPolicies(
  policy: "home" | "least" | "own",
  fleetHolder: { readonly fleet?: FakeFleet },
): Policies {
  switch (policy) {
    case "own":
      return {};
    case "home":
      return { decideRegion: () => ({ kind: "home" }) };
    case "least":
      return {
        ignoresCredits: true,
        decideRegion: ({ homeMs, options }) => {
          const readRegionLoad = (region: string) =>
            computeMeanLoad(fleetHolder.fleet!, region);
          const home = REGIONS.find((region) =>
            options.every((option) => option.region !== region)
          );
          const best = options.map(({ region }) => ({
            region,
            load: readRegionLoad(region),
          }))
            .sort((a, b) => a.load - b.load)[0];
          const isHomeBest = best === undefined || homeMs !== undefined &&
              readRegionLoad(home ?? "") <= best.load;
          return isHomeBest
            ? { kind: "home" }
            : { kind: "away", region: toRegionId(best!.region) };
        },
      };
  }
}

function computeMeanLoad(fleet: FakeFleet, region: string): number {
  const engines = [...fleet.backend.engines.values()]
    .filter((engine) => engine.region === region && !engine.isDown);
  if (engines.length === 0) return Infinity;
  return engines.reduce((sum, { core }) => sum + core.sequenceCount, 0) /
    engines.length;
}
