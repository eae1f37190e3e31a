import { Command, InvalidArgumentError } from "commander";
import { dirname, join } from "node:path";
import { mkdirSync, rmSync } from "node:fs";
import { runSoak, type SoakReport } from "../soak/mod.ts";
import { buildProgram } from "../standin/build_program.ts";

interface Options {
  readonly seed: number;
  readonly seeds?: readonly number[];
  readonly fresh?: boolean;
  readonly minutes?: number;
  readonly seconds: number;
  readonly instances: number;
  readonly logs?: string;
}

/** Upper limit of the seeds that `--fresh` draws, so that they are short to write down. */
const FRESH_SEED_LIMIT = 1_000_000;

const options = new Command("havenspur-soak")
  .description(
    "Injects faults into real processes by a seeded plan and checks the promises",
  )
  .option("--seed <number>", "seed of the plan", parseNumber, 1)
  .option("--seeds <A..B>", "all seeds from A to B", parseSeeds)
  .option("--fresh", "start with a random seed")
  .option(
    "--minutes <number>",
    "continue with the following seeds for this long",
    parseNumber,
  )
  .option(
    "--seconds <number>",
    "duration of the traffic of a run",
    parseNumber,
    25,
  )
  .option("--instances <number>", "instances per region", parseNumber, 2)
  .option("--logs <folder>", "keep the logs of the instances, a folder a seed")
  .parse().opts<Options>();

const program = buildProgram();
const startMs = Date.now();
let hasViolations = false;
try {
  for (const seed of listSeeds(options)) {
    if (options.minutes !== undefined && isTimeUp(options.minutes)) break;
    console.log(`seed ${seed}`);
    const report = await runSoak({
      program,
      seed,
      seconds: options.seconds,
      instancesPerRegion: options.instances,
      logFolder: createLogFolder(options, seed),
      print: (line) => console.log(`  ${line}`),
    });
    printReport(report);
    hasViolations ||= report.violations.length > 0;
  }
} finally {
  rmSync(dirname(program), { recursive: true, force: true });
}
process.exitCode = hasViolations ? 1 : 0;

function isTimeUp(minutes: number): boolean {
  return Date.now() - startMs > 60_000 * minutes;
}

function createLogFolder(
  { logs }: Options,
  seed: number,
): string | undefined {
  if (logs === undefined) return undefined;
  const folder = join(logs, String(seed));
  mkdirSync(folder, { recursive: true });
  return folder;
}

function* listSeeds(
  { fresh, minutes, seed, seeds }: Options,
): Generator<number> {
  if (seeds !== undefined) return yield* seeds;
  const first = fresh ? Math.floor(Math.random() * FRESH_SEED_LIMIT) : seed;
  yield first;
  for (let next = first + 1; minutes !== undefined; next++) yield next;
}

function printReport(report: SoakReport): void {
  const { calls, faults, maxMemoryMb, seed, served, violations } = report;
  console.log(
    `seed ${seed}: ${faults} faults, ${served} of ${calls} calls served, ` +
      `${maxMemoryMb} MB at most, ${violations.length} promises broken`,
  );
  violations.slice(0, 20).forEach(({ promise, detail }) =>
    console.log(`  BROKEN ${promise}: ${detail}`)
  );
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError(`Wanted a number, got "${text}"`);
}

function parseSeeds(text: string): readonly number[] {
  const [first, last] = text.split("..").map(Number);
  if (first === undefined || last === undefined || !(last >= first)) {
    throw new InvalidArgumentError(`Wanted A..B, got "${text}"`);
  }
  return Array.from({ length: last - first + 1 }, (_, at) => first + at);
}
