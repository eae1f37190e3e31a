import { Command, Option } from "commander";
import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import {
  ANSWER_FAULTS,
  type AnswerFault,
  type Disturbance,
  DISTURBANCES,
  findLines,
  playRepeats,
  type RepeatsReport,
} from "../repeats/mod.ts";
import { buildProgram } from "../standin/build_program.ts";

interface Options {
  readonly program?: string;
  readonly seed: string;
  readonly plays: string;
  readonly seconds: string;
  readonly instances: string;
  readonly servers: string;
  readonly faults: readonly AnswerFault[];
  readonly disturbances: readonly Disturbance[];
  readonly logs?: string;
}

/** Number of messages of the logs that are printed, the most frequent ones. */
const SHOWN_MESSAGES = 12;

const options = new Command("havenspur-repeats")
  .description(
    "Plays calls that may run once on real processes, and tells which ran twice",
  )
  .option("--program <path>", "built program of the instances")
  .option("--seed <number>", "seed of the first play", "1")
  .option("--plays <number>", "plays, each with the next seed", "1")
  .option("--seconds <number>", "duration of the traffic of a play", "20")
  .option("--instances <number>", "instances per region", "2")
  .option("--servers <number>", "servers per region", "1")
  .addOption(
    new Option("--faults <names...>", "how servers answer falsely")
      .choices(ANSWER_FAULTS).default([]),
  )
  .addOption(
    new Option("--disturbances <names...>", "what happens beside the calls")
      .choices(DISTURBANCES).default([]),
  )
  .option("--logs <folder>", "folder for the logs, one in it for each seed")
  .parse().opts<Options>();

const program = options.program ?? buildProgram();
const logs = options.logs ?? mkdtempSync(join(tmpdir(), "repeats-"));
const seeds = Array.from(
  { length: Number(options.plays) },
  (_, at) => Number(options.seed) + at,
);
let brokenCount = 0;
for (const seed of seeds) {
  const logFolder = join(logs, String(seed));
  mkdirSync(logFolder, { recursive: true });
  const report = await playRepeats({
    program,
    seed,
    seconds: Number(options.seconds),
    instancesPerRegion: Number(options.instances),
    serversPerRegion: Number(options.servers),
    faults: options.faults,
    disturbances: options.disturbances,
    logFolder,
  });
  printReport(seed, report, logFolder);
  if (report.arrivals === 0) throw new Error("No call arrived at a server");
  brokenCount += report.broken.length;
}
if (options.program === undefined) {
  rmSync(dirname(program), { recursive: true, force: true });
}
console.log(`logs in ${logs}`);
process.exitCode = brokenCount > 0 ? 1 : 0;

function printReport(
  seed: number,
  { arrivals, broken, calls, messages, misdirected, served }: RepeatsReport,
  logFolder: string,
): void {
  const count = (kind: string) =>
    broken.filter((each) => each.kind === kind).length;
  console.log(
    `seed ${seed}: ${served} of ${calls} calls served, ${arrivals} arrivals, ` +
      `${misdirected} misdirected; ${count("ran-twice")} ran twice, ` +
      `${count("refused-ran")} were refused and ran`,
  );
  const shown = [...messages].sort(([, a], [, b]) => b - a)
    .slice(0, SHOWN_MESSAGES).map(([message, times]) => `${message} ${times}`);
  console.log(`  logs: ${shown.join(", ")}`);
  broken.forEach(({ arrivals: own, call, kind }) => {
    const { callId, instance, status } = call;
    console.log(`  ${kind} ${callId} at ${instance}, answered ${status}`);
    own.forEach((each) =>
      console.log(
        `    ${each.kind} at ${each.server}, connection ${each.connection}`,
      )
    );
    findLines(logFolder, callId).forEach((line) => console.log(`    ${line}`));
  });
}
