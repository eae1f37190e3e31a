import { fileURLToPath } from "node:url";
import { OperatorClient } from "../bin/operator_client.ts";
import { startDeployment } from "../bin/start_deployment.ts";
import { createLoadReport, runLoad, SCENARIO_SCHEMA } from "../load/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

const EXAMPLE = fileURLToPath(
  new URL("../../examples/torra-nordeste", import.meta.url),
);
const DURATION_MINUTES = 5;
const CALLS_PER_SECOND = 40;
const SAMPLE_MS = 15_000;
const WARMUP_SAMPLES = 4;

/** Measures heap memory over five minutes of load on nine daemons in one process. */
export async function runSoakBench(): Promise<BenchResult> {
  const deployment = await startDeployment(EXAMPLE);
  const urls = deployment.daemons.map(({ record }) => record.callerUrl);
  const operator = new OperatorClient({
    servers: urls,
    token: "operator-token-example",
  });
  const resources = deployment.resources.map((resource) =>
    resource.kind === "team"
      ? { ...resource, spec: { ...resource.spec, requestsPerSecond: 10_000 } }
      : resource
  );
  await operator.call("POST", "/api/v1/changes", { changes: resources });
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  const samples: number[] = [];
  const timer = setInterval(() => {
    globalThis.gc?.();
    samples.push(process.memoryUsage().heapUsed / 1_000_000);
  }, SAMPLE_MS);
  const scenario = SCENARIO_SCHEMA.parse({
    seed: 5,
    duration_s: DURATION_MINUTES * 60,
    arrivals: { kind: "poisson", rate: CALLS_PER_SECOND },
    teams: [{ token: "app-token-example-0001" }],
    mix: [
      {
        name: "stream",
        weight: 6,
        kind: "stream",
        model: "barista-8b",
        output_tokens: 16,
        sessions: 50,
      },
      { name: "leaves", weight: 1, kind: "disconnect", model: "barista-8b" },
      {
        name: "once",
        weight: 3,
        kind: "non-idempotent",
        path: "/services/assinatura-app/plan-changes",
      },
    ],
  });
  const calls = await runLoad(scenario, {
    entries: urls,
    setFault: () => Promise.resolve(),
  });
  clearInterval(timer);
  const report = createLoadReport(calls, scenario.duration_s);
  await deployment.stop();
  const warmSamples = samples.slice(WARMUP_SAMPLES);
  const half = Math.floor(warmSamples.length / 2);
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  const growth = mean(warmSamples.slice(half)) /
    mean(warmSamples.slice(0, half));
  return {
    head: ["MINUTE", "HEAP MB"],
    rows: samples.map((
      value,
      index,
    ) => [toCell((index + 1) * SAMPLE_MS / 60_000, 2), toCell(value)]),
    figures: {
      calls: report.calls,
      not_whole: report.notWhole,
      heap_second_half_over_first: growth,
    },
    notes: [
      `${CALLS_PER_SECOND} calls per second; nine daemons, stand-ins and load generator share one process, so that ` +
      "the heap also holds the results of the load generator and the runs of the stand-ins",
    ],
  };
}
