import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { systemClock } from "../adapters/system_clock.ts";
import { createRandom, type Random, waitFor } from "../clock/mod.ts";
import type { PlatformProcess } from "../standin/platform_process.ts";
import type {
  RecordedBadAnswer,
  RecordedRefusal,
  RecordedRun,
} from "../standin/recording_server.ts";
import { FaultRunner } from "./fault_runner.ts";
import { BOUND_HOST, SOAK_HOST, SoakCaller } from "./caller.ts";
import { checkPromises, type Violation } from "./check_promises.ts";
import { listSilentCalls } from "./check_silences.ts";
import {
  type CallKind,
  type DirectoryAnswer,
  isServed,
  KEY_KINDS,
  type Observation,
  type ObservedCall,
  type ObservedRollout,
  type ProcessResources,
  STREAM_KINDS,
  WORK_KINDS,
} from "./observation.ts";
import type { PlannedFault } from "./fault.ts";
import {
  createPlan,
  createQuietPlan,
  FAULT_FREE_END_MS,
  type QuietPlan,
} from "./plan.ts";
import {
  type LostInstance,
  SoakFleet,
  type SoakInstance,
  WORK_SERVICE,
} from "./soak_fleet.ts";

/** Arguments of {@linkcode runSoak}. */
export interface SoakParts {
  /** Path of the built program. */
  readonly program: string;
  /** Seed of the plan, of the calls and of their ids. */
  readonly seed: number;
  /** Length of the traffic, in seconds; the last fault ends some seconds earlier. */
  readonly seconds: number;
  readonly instancesPerRegion: number;
  /** Folder that exists, for the logs of the instances and what was observed. Default: none are kept. */
  readonly logFolder?: string | undefined;
  /** Called with a one-line description of each fault. */
  readonly print: (line: string) => void;
}

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  /** Number of calls, without those of crowds and those that crash servers. */
  readonly calls: number;
  /** Number of calls that were answered with 200. */
  readonly served: number;
  /** Number of planned faults. */
  readonly faults: number;
  readonly violations: readonly Violation[];
  /** Memory of the largest process at the end, in MB. */
  readonly maxMemoryMb: number;
}

const REGIONS = ["north", "south", "west"];
const SERVERS_PER_REGION = 2;
const CALLERS_PER_INSTANCE = 3;
/** Pause of a caller after an answered call, in milliseconds. */
const CALL_PAUSE_MS = 40;
/** Pause of a caller after a failed call, in milliseconds. */
const FAILED_PAUSE_MS = 150;
/** Pause between two queries of directories, in milliseconds. */
const DIRECTORY_PAUSE_MS = 200;
/**
 * Time after the faults, once all instances are ready, until calls must be served again, in
 * milliseconds: the users' requirement of 5 s, and half as much again.
 */
const RECOVERY_MS = 7_500;

/** Runs the plan of one seed on real processes and checks what callers and servers observed. */
export async function runSoak(parts: SoakParts): Promise<SoakReport> {
  const clock = systemClock;
  const runs: RecordedRun[] = [];
  const refusals: RecordedRefusal[] = [];
  const rejections: RecordedRefusal[] = [];
  const badAnswers: RecordedBadAnswer[] = [];
  const planParts = {
    seed: parts.seed,
    seconds: parts.seconds,
    instances: REGIONS.length * parts.instancesPerRegion,
    instancesPerRegion: parts.instancesPerRegion,
    servers: REGIONS.length * SERVERS_PER_REGION,
  };
  const plan = createPlan(planParts);
  const quietPlan = createQuietPlan(planParts);
  const fleet = new SoakFleet({
    program: parts.program,
    logFolder: parts.logFolder,
    regions: REGIONS,
    instancesPerRegion: parts.instancesPerRegion,
    serversPerRegion: SERVERS_PER_REGION,
    hasEngines: plan.some(({ fault }) =>
      fault.kind === "rollout" && fault.servers === "engines"
    ),
    clock,
    recordRun: (run) => runs.push(run),
    recordRefusal: (refusal) => refusals.push(refusal),
    recordRejection: (rejection) => rejections.push(rejection),
    recordBadAnswer: (answer) => badAnswers.push(answer),
  });
  try {
    await fleet.start();
    const lost = await Promise.race([fleet.awaitReady(), fleet.lostInstance]);
    if (lost !== undefined) return createLostReport(parts, lost);
    return await observe(parts, { fleet, plan, quietPlan }, {
      runs,
      refusals,
      rejections,
      badAnswers,
    });
  } finally {
    await fleet.close();
  }
}

/** Returns the report of a run that cannot go on; what else it observed is not checked. */
function createLostReport(
  { seed }: SoakParts,
  lost: LostInstance,
  observed: Pick<SoakReport, "calls" | "served" | "faults"> = {
    calls: 0,
    served: 0,
    faults: 0,
  },
): SoakReport {
  return { seed, ...observed, violations: [lost], maxMemoryMb: 0 };
}

async function observe(
  parts: SoakParts,
  { fleet, plan, quietPlan }: {
    readonly fleet: SoakFleet;
    readonly plan: readonly PlannedFault[];
    readonly quietPlan: QuietPlan;
  },
  { badAnswers, ...recorded }:
    & Pick<Observation, "refusals" | "rejections" | "runs">
    & { readonly badAnswers: readonly RecordedBadAnswer[] },
): Promise<SoakReport> {
  const clock = systemClock;
  const startMs = clock.nowMs();
  const trafficEnded = new AbortController();
  const calls: ObservedCall[] = [];
  const directories: DirectoryAnswer[] = [];
  const callers = startCallers(fleet, calls, parts.seed, trafficEnded.signal);
  const polling = watchDirectories(fleet, directories, trafficEnded.signal);
  const faults = new FaultRunner({
    fleet,
    clock,
    random: createRandom(parts.seed + 2),
    print: parts.print,
  });
  let faultsEndedMs = startMs;
  const runPlan = async () => {
    await Promise.all(plan.map(async (planned) => {
      await waitFor(clock, startMs + planned.atMs - clock.nowMs());
      if (!fleet.closed.aborted) await faults.run(planned);
    }));
    const unready = await fleet.awaitReady();
    if (unready !== undefined) return unready;
    faultsEndedMs = clock.nowMs();
    await Promise.all([
      faults.runQuiet(quietPlan),
      waitFor(clock, FAULT_FREE_END_MS),
    ]);
    return undefined;
  };
  const lost = await Promise.race([runPlan(), fleet.lostInstance]);
  trafficEnded.abort("over");
  await Promise.all([...callers, polling]);
  const counts = { calls: calls.length, served: calls.filter(isServed).length };
  if (lost !== undefined) {
    return createLostReport(parts, lost, { ...counts, faults: plan.length });
  }
  const processes = fleet.instances.flatMap(measureProcess);
  const rollouts = faults.listRollouts(badAnswers);
  rollouts.forEach((rollout) =>
    parts.print(formatRollout(rollout, recorded.runs))
  );
  const observation: Observation = {
    calls: [...calls, ...faults.crashingCalls],
    ...recorded,
    advertisements: faults.advertisements,
    abandonedCalls: faults.abandonedCalls,
    directories,
    processes,
    serverDepartures: faults.serverDepartures,
    instanceDepartures: faults.instanceDepartures,
    stops: faults.listStops(),
    disturbedSpans: faults.disturbedSpans,
    pauses: faults.pauses,
    cutOffs: faults.cutOffs,
    serverSilences: faults.serverSilences,
    serverDisturbances: faults.listServerDisturbances(),
    revokedKeys: fleet.revokedKeys,
    rollouts,
    storeRestoresMs: faults.storeRestoresMs,
    lastVersion: fleet.version,
    recoveredFromMs: faultsEndedMs + RECOVERY_MS,
  };
  parts.print(
    `silence: ${
      listSilentCalls(observation).length
    } calls at silent servers that had to be answered`,
  );
  keepObservation(parts, { startMs, ...observation });
  const violations = checkPromises(observation);
  return {
    seed: parts.seed,
    ...counts,
    faults: plan.length,
    violations,
    maxMemoryMb: Math.max(...processes.map(({ memoryMb }) => memoryMb)),
  };
}

/** Writes what was observed beside the logs: without it, no broken promise can be traced. */
function keepObservation(
  { logFolder }: SoakParts,
  observation: Observation & { readonly startMs: number },
): void {
  if (logFolder === undefined) return;
  writeFileSync(
    join(logFolder, "observation.json"),
    JSON.stringify(observation),
  );
}

/** Returns a line that shows how much of a rollout the checks could observe. */
function formatRollout(
  { badAnswers, deadlineMs, destination, interruptedRuns, orderedFromMs }:
    ObservedRollout,
  runs: readonly RecordedRun[],
): string {
  const arrived = runs.filter(({ atMs, service }) =>
    service === WORK_SERVICE && atMs >= orderedFromMs && atMs <= deadlineMs
  );
  const exposed = arrived.filter(({ version }) => version === destination);
  return `rollout: ${exposed.length} of ${arrived.length} calls at ` +
    `${destination} until the time limit, ${badAnswers.length} bad answers, ` +
    `${interruptedRuns.length} calls at old servers when they stopped`;
}

function startCallers(
  fleet: SoakFleet,
  calls: ObservedCall[],
  seed: number,
  signal: AbortSignal,
): readonly Promise<void>[] {
  const random = createRandom(seed + 1);
  const streamRandom = createRandom(seed + 3);
  return fleet.instances.flatMap((instance) => [
    ...Array.from(
      { length: CALLERS_PER_INSTANCE },
      () => keepCalling(fleet, instance, WORK_KINDS, calls, random, signal),
    ),
    keepCalling(fleet, instance, ["version"], calls, random, signal),
    keepCalling(fleet, instance, KEY_KINDS, calls, random, signal),
    keepCalling(fleet, instance, STREAM_KINDS, calls, streamRandom, signal),
  ]);
}

async function keepCalling(
  fleet: SoakFleet,
  instance: SoakInstance,
  kinds: readonly CallKind[],
  calls: ObservedCall[],
  random: Random,
  signal: AbortSignal,
): Promise<void> {
  const caller = new SoakCaller({
    random,
    nowMs: () => systemClock.nowMs(),
    record: (call) => calls.push(call),
  });
  for (let round = 0; !signal.aborted; round++) {
    const kind = kinds[round % kinds.length]!;
    const { end } = await caller.call(
      fleet.toCalledInstance(instance),
      kind,
    );
    const pauseMs = end.kind === "answered" ? CALL_PAUSE_MS : FAILED_PAUSE_MS;
    await waitFor(systemClock, pauseMs * (0.5 + random.nextFloat()));
  }
  caller.close();
}

async function watchDirectories(
  fleet: SoakFleet,
  directories: DirectoryAnswer[],
  signal: AbortSignal,
): Promise<void> {
  for (let round = 0; !signal.aborted; round++) {
    const { length } = fleet.instances;
    const { process, region } = fleet.instances[round % length]!;
    // Callers query the directories of other regions if those of their own do not answer.
    const caller = REGIONS[Math.floor(round / length) % REGIONS.length]!;
    const [own, bound] = await Promise.all([
      readDirectory(process, SOAK_HOST, region),
      readDirectory(process, BOUND_HOST, caller),
    ]);
    const allowed = [...fleet.homeRegions, caller];
    const forbiddenHosts = fleet.instances.filter((instance) =>
      bound.hosts.includes(instance.process.host) &&
      !allowed.includes(instance.region)
    ).map((instance) => instance.process.host);
    directories.push({ ...own, forbiddenHosts: [] }, {
      ...bound,
      forbiddenHosts,
    });
    await waitFor(systemClock, DIRECTORY_PAUSE_MS);
  }
}

async function readDirectory(
  process: PlatformProcess,
  host: string,
  region: string,
): Promise<Omit<DirectoryAnswer, "forbiddenHosts">> {
  const atMs = systemClock.nowMs();
  const addresses = await process.listEntries(host, region) ?? [];
  return { atMs, hosts: addresses.map((address) => address.split(":")[0]!) };
}

function measureProcess(
  { process }: SoakInstance,
): readonly ProcessResources[] {
  const { name, pid } = process;
  if (pid === undefined) return [];
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return [{
    instance: name,
    memoryMb: Math.round(kilobytes / 1_024),
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  }];
}
