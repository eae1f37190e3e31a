import { readFileSync } from "node:fs";
import { type BenchCase, type BenchResult, printResult } from "./bench_case.ts";
import { runBatchBench } from "./batch_bench.ts";
import { runCrowdBench } from "./crowd_bench.ts";
import { runChoiceBench } from "./choice_bench.ts";
import { runConfigBench } from "./config_bench.ts";
import { runControlBench } from "./control_bench.ts";
import { runIdleBench } from "./idle_bench.ts";
import { runJournalBench } from "./journal_bench.ts";
import { runMembershipBench } from "./membership_bench.ts";
import { runSubsetBench } from "./subset_bench.ts";
import { runLimitsBench } from "./limits_bench.ts";
import { runTeamLimitsBench } from "./team_limits_bench.ts";
import { runOpaqueBench } from "./opaque_bench.ts";
import { runOverheadBench } from "./overhead_bench.ts";
import { runOverloadBench } from "./overload_bench.ts";
import { runReportsBench } from "./reports_bench.ts";
import { runRetriesBench } from "./retries_bench.ts";
import { runSoakBench } from "./soak_bench.ts";
import { runSpillBench } from "./spill_bench.ts";
import { runRolloutsBench } from "./rollouts_bench.ts";
import { runRoutingBench } from "./routing_bench.ts";

const CASES: readonly BenchCase[] = [
  { name: "routing", run: runRoutingBench },
  { name: "choice", run: runChoiceBench },
  { name: "crowd", run: runCrowdBench },
  { name: "spill", run: runSpillBench },
  { name: "batch", run: runBatchBench },
  { name: "overload", run: runOverloadBench },
  { name: "limits", run: runLimitsBench },
  { name: "team-limits", run: runTeamLimitsBench },
  { name: "retries", run: runRetriesBench },
  { name: "journal", run: runJournalBench },
  { name: "config", run: runConfigBench },
  { name: "membership", run: runMembershipBench },
  { name: "subset", run: runSubsetBench },
  { name: "control", run: runControlBench },
  { name: "reports", run: runReportsBench },
  { name: "idle", run: runIdleBench },
  { name: "opaque", run: runOpaqueBench },
  { name: "overhead", run: runOverheadBench },
];

/** Bound on one figure, which is a count or a ratio of values of the same run. */
interface Bound {
  readonly figure: string;
  readonly min?: number;
  readonly max?: number;
}

/** Benchmarks that take too long to be part of `all`. */
const LONG_CASES: readonly BenchCase[] = [
  { name: "soak", run: runSoakBench },
  { name: "rollouts", run: runRolloutsBench },
];

const [requestedName = "all"] = process.argv.slice(2);
const cases = requestedName === "all"
  ? CASES
  : [...CASES, ...LONG_CASES].filter(({ name }) => name === requestedName);
if (cases.length === 0) {
  console.error(
    `Unknown benchmark "${requestedName}": expected all, ${
      CASES.map(({ name }) => name).join(", ")
    }`,
  );
  process.exit(2);
}
const bounds = readBounds();
let brokenBoundCount = 0;
for (const { name, run } of cases) {
  const result = await run();
  brokenBoundCount += checkBounds(name, result);
  printResult(name, result);
}
process.exit(brokenBoundCount === 0 ? 0 : 1);

function readBounds(): Readonly<Record<string, readonly Bound[]>> {
  const text = readFileSync(
    new URL("../../bench/baselines.json", import.meta.url),
    "utf8",
  );
  return JSON.parse(text) as Readonly<Record<string, readonly Bound[]>>;
}

function checkBounds(name: string, { figures }: BenchResult): number {
  const failures = (bounds[name] ?? []).filter(
    ({ figure, min = -Infinity, max = Infinity }) => {
      const value = figures[figure];
      return value === undefined || !(value >= min && value <= max);
    },
  );
  failures.forEach(({ figure, min, max }) =>
    console.error(
      `BOUND BROKEN ${name}: ${figure} is ${
        figures[figure]
      }, expected ${min} to ${max}`,
    )
  );
  return failures.length;
}
