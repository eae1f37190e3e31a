#!/usr/bin/env node
import { Command } from "commander";
import { readFileSync, writeFileSync } from "node:fs";
import { request } from "undici";
import {
  createLoadReport,
  createPlotPage,
  type LoadReport,
  type Quantiles,
  runLoad,
  type Scenario,
  SCENARIO_SCHEMA,
  type StandinFacts,
} from "../load/mod.ts";
import { formatProblem, parseSettings } from "../settings/mod.ts";
import { EXIT_CODES } from "./exit_codes.ts";
import { formatTable } from "./format_table.ts";
import { OperatorClient } from "./operator_client.ts";
import { type RunningDeployment, startDeployment } from "./start_deployment.ts";

interface LoadOptions {
  readonly embedded?: string;
  readonly json?: string;
  readonly report?: string;
  readonly compare?: readonly string[];
}

const OPERATOR_TOKEN = "operator-token-example";
/** Prices of the example engines per second, by speed. */
const PRICES_PER_SECOND = { new: 1, old: 0.4 };

const program = new Command("havenspur-load")
  .description(
    "Generates load from a scenario, checks every answer, and reports.",
  )
  .version("0.1.0")
  .argument("[scenario]", "TOML file")
  .option("--embedded <folder>", "run a deployment in this process and load it")
  .option("--json <file>", "write the report as JSON")
  .option("--report <file>", "write the report as an HTML page with plots")
  .option("--compare <files...>", "compare two JSON reports side by side")
  .showHelpAfterError()
  .addHelpText(
    "after",
    `
Examples:
  havenspur-load examples/scenarios/rush.toml --embedded examples/torra-nordeste --report rush.html
  havenspur-load --compare before.json after.json

Exit codes: 0 all checks passed, 1 an answer was incomplete or a call ran twice, 2 usage`,
  );
program.exitOverride((error) => {
  process.exit(error.exitCode === 0 ? EXIT_CODES.OK : EXIT_CODES.USAGE);
});
program.parse();
const options = program.opts<LoadOptions>();
if (options.compare !== undefined) compareReports(options.compare);
else await runScenario(program.args[0]);

async function runScenario(file: string | undefined): Promise<void> {
  if (file === undefined) fail("Cannot run: no scenario file was given");
  const parsed = parseSettings(readFileSync(file, "utf8"), SCENARIO_SCHEMA);
  if (parsed.isErr()) {
    fail(
      parsed.error.map((problem) => formatProblem(file, problem)).join("\n"),
    );
  }
  const scenario = parsed.value;
  const deployment = options.embedded === undefined
    ? undefined
    : await startEmbedded(options.embedded);
  const entries = deployment?.daemons.map(({ record }) => record.callerUrl) ??
    scenario.entries;
  if (entries.length === 0) fail("Cannot run: the scenario names no entries");
  const calls = await runLoad(scenario, {
    entries,
    setFault: (target, fault) => setFault(deployment, target, fault),
  });
  const facts = deployment === undefined
    ? {}
    : readStandinFacts(deployment, scenario);
  const report = createLoadReport(calls, scenario.duration_s, facts);
  await deployment?.stop();
  console.log(formatReport(report));
  if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify(report)}\n`);
  }
  if (options.report !== undefined) {
    writeFileSync(options.report, createReportPage(file, report));
  }
  console.log(JSON.stringify({ ...report, series: undefined }));
  process.exit(report.notWhole === 0 && (report.ranTwice ?? 0) === 0 ? 0 : 1);
}

async function startEmbedded(folder: string): Promise<RunningDeployment> {
  const deployment = await startDeployment(folder);
  const operator = new OperatorClient({
    servers: deployment.daemons.map(({ record }) => record.callerUrl),
    token: OPERATOR_TOKEN,
  });
  const applied = await operator.call("POST", "/api/v1/changes", {
    changes: deployment.resources,
  });
  if (applied.isErr()) fail(applied.error.message);
  await new Promise((resolve) => setTimeout(resolve, 2_500));
  return deployment;
}

/**
 * Sets a fault at a target: `platform`, the name of an engine, plain server or daemon,
 * or the URL of a stand-in.
 */
async function setFault(
  deployment: RunningDeployment | undefined,
  target: string,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  const daemon = deployment?.daemons.find(({ record }) => record.id === target);
  if (daemon !== undefined) {
    return await (fault.leave === true ? daemon.shutDown() : daemon.kill());
  }
  const engine = deployment?.standins.engines.get(target);
  if (engine !== undefined && fault.die === true) return await engine.crash();
  if (engine !== undefined && fault.clearCache === true) {
    return engine.core.clearCache();
  }
  const url = target === "platform"
    ? deployment?.standins.platform.url
    : engine?.url ?? deployment?.standins.plainServers.get(target)?.url ??
      target;
  const { body } = await request(`${url}/control/faults`, {
    method: "POST",
    body: JSON.stringify(fault),
  });
  await body.text();
}

function readStandinFacts(
  deployment: RunningDeployment,
  scenario: Scenario,
): StandinFacts {
  const engines = [...deployment.standins.engines.entries()];
  const oldEngineNames = new Set(
    deployment.resources.filter(({ spec }) =>
      spec.pricePerSecond === PRICES_PER_SECOND.old
    )
      .map(({ name }) => name),
  );
  const cost = engines.reduce(
    (sum, [name, { core }]) =>
      sum +
      core.counts.busyMs / 1_000 * (oldEngineNames.has(name)
          ? PRICES_PER_SECOND.old
          : PRICES_PER_SECOND.new),
    0,
  );
  const lookups = engines.reduce(
    (sum, [, { core }]) => sum + core.counts.cacheLookups,
    0,
  );
  const hits = engines.reduce(
    (sum, [, { core }]) => sum + core.counts.cacheHits,
    0,
  );
  const runBodies = [...deployment.standins.plainServers.values()]
    .flatMap(({ runs }) =>
      runs.filter(({ method }) => method === "POST").map(({ body }) => body)
    );
  const hasNonIdempotentCalls = scenario.mix.some(({ kind }) =>
    kind === "non-idempotent"
  );
  return {
    cost,
    cacheHitShare: lookups === 0 ? 0 : hits / lookups,
    ...(hasNonIdempotentCalls
      ? { ranTwice: runBodies.length - new Set(runBodies).size }
      : {}),
  };
}

function formatReport(report: LoadReport): string {
  const formatQuantiles = (
    name: string,
    { p50, p95, p99, p999 }: Quantiles,
  ) => [
    name,
    ...[p50, p95, p99, p999].map((value) => value.toFixed(1)),
  ];
  const refusals = Object.entries(report.refusals).map(([code, count]) =>
    `${code}: ${count}`
  );
  return [
    `${report.calls} calls in ${report.seconds} s, goodput ${
      report.goodput.toFixed(1)
    } a second`,
    formatTable(["MS", "P50", "P95", "P99", "P99.9"], [
      formatQuantiles("first token", report.firstToken),
      formatQuantiles("total", report.total),
      formatQuantiles("between tokens", report.betweenTokens),
    ]),
    `away ${
      (report.awayShare * 100).toFixed(1)
    }%, not whole ${report.notWhole}, ` +
    `ran twice ${report.ranTwice ?? "not measured"}, ` +
    `cost ${report.cost?.toFixed(1) ?? "not measured"}, ` +
    `cache hits ${report.cacheHitShare?.toFixed(2) ?? "not measured"}`,
    `codes: ${refusals.join(", ") || "none"}`,
  ].join("\n");
}

function createReportPage(title: string, report: LoadReport): string {
  const x = report.series.map(([second]) => second);
  return createPlotPage(title, [
    {
      title: "Calls and whole answers",
      x,
      xLabel: "second",
      series: [
        { label: "calls", values: report.series.map(([, calls]) => calls) },
        {
          label: "whole answers",
          values: report.series.map(([, , whole]) => whole),
        },
      ],
    },
    {
      title: "First token, p95, ms",
      x,
      xLabel: "second",
      series: [{
        label: "p95",
        values: report.series.map(([, , , p95]) => p95),
      }],
    },
  ], formatReport(report));
}

function compareReports(files: readonly string[]): void {
  if (files.length !== 2) fail("Cannot compare: wanted two report files");
  const [before, after] = files.map((file) =>
    JSON.parse(readFileSync(file, "utf8")) as LoadReport
  ) as [LoadReport, LoadReport];
  const rows: readonly (readonly [string, (report: LoadReport) => number])[] = [
    ["goodput /s", (report) => report.goodput],
    ["first token p50 ms", (report) => report.firstToken.p50],
    ["first token p95 ms", (report) => report.firstToken.p95],
    ["first token p99 ms", (report) => report.firstToken.p99],
    ["total p95 ms", (report) => report.total.p95],
    ["between tokens p95 ms", (report) => report.betweenTokens.p95],
    ["away %", (report) => report.awayShare * 100],
    ["not whole", (report) => report.notWhole],
    ["cost", (report) => report.cost ?? 0],
  ];
  console.log(formatTable(
    ["", files[0]!, files[1]!, "RATIO"],
    rows.map(([name, read]) => [
      name,
      read(before).toFixed(1),
      read(after).toFixed(1),
      read(before) === 0 ? "-" : (read(after) / read(before)).toFixed(2),
    ]),
  ));
}

function fail(message: string): never {
  console.error(message);
  process.exit(EXIT_CODES.USAGE);
}
