import { mkdirSync, readdirSync, readFileSync } from "node:fs";
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { systemClock } from "../adapters/system_clock.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { PlatformOperator } from "../standin/platform_operator.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import {
  PLATFORM_PORTS,
  PlatformProcess,
} from "../standin/platform_process.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import { type BenchResult, toCell } from "./bench_case.ts";
import { BENCH_HOST, runInstanceLoad } from "./process_load.ts";
import { formatProfile } from "./summarize_profile.ts";

/** Program of the platform, as `deploy/system.toml` builds it. */
const PROGRAM = "target/havenspur.cjs";
/** Options with which `deploy/system.toml` runs the program. */
const NODE_OPTIONS = ["--max-old-space-size=158", "--no-wasm-tier-up"];
const REGION = "north";
const REMOTE_REGION = "south";
/** Instances of each program that are measured. */
const MEASURED_PER_PROGRAM = 3;
/**
 * Instances that are not measured. The first by name are the aggregators of the region, which
 * do more than the others.
 */
const UNMEASURED = 2;
const ENGINES = 24;
const ENGINE_SLOTS = 32;
const PLAIN_SERVERS = 3;
const CALLS_PER_SECOND = 15;
const SETTLE_MS = 4_000;
const IDLE_MS = 12_000;
const READY_POLL_MS = 5;
const FIRST_HOST = 10;

/** Settings from the environment, for trials. */
const LOAD_MS = Number(process.env.BENCH_LOAD_MS ?? 40_000);
const STREAM_EVENTS = Number(process.env.BENCH_STREAM_EVENTS ?? 40);
const PROFILE_FOLDER = process.env.BENCH_PROFILE_FOLDER;

interface Sample {
  readonly program: string;
  readonly startMs: number;
  readonly idleMsPerSecond: number;
  readonly idleResidentMb: number;
  readonly loadMsPerSecond: number;
  readonly calls: number;
  readonly failed: number;
  readonly msPerCall: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

/**
 * Measures the platform's program as real processes, on loopback, before stand-ins of the
 * store and the servers: processor time of a start, of an idle second and of a call, and
 * resident memory. The arguments name the programs to compare; default: the built one. The
 * instances of all programs run in one region at the same time, under the same load.
 */
export async function runProcessBench(): Promise<BenchResult> {
  const arguments_ = process.argv.slice(3);
  const programs = arguments_.length > 0 ? arguments_ : [PROGRAM];
  const store = new MemoryStore(systemClock);
  const standin = await startStoreStandin(store);
  const servers = new Worker(new URL("process_servers.js", import.meta.url));
  servers.postMessage(ENGINES + PLAIN_SERVERS);
  const [ports] = (await once(servers, "message")) as [readonly number[]];
  await configure(store, ports);
  const names = [
    ...Array.from({ length: UNMEASURED }, () => programs[0]!),
    ...Array.from({ length: MEASURED_PER_PROGRAM }, () => programs).flat(),
  ];
  const hosts = names.map((_, at) => toLoopbackAddress(FIRST_HOST + at));
  const createInstance = (program: string, host: string, name: string) =>
    new PlatformProcess({
      program,
      nodeOptions: [...NODE_OPTIONS, ...toProfileOptions(name)],
      name,
      host,
      region: name.startsWith("r") ? REMOTE_REGION : REGION,
      regions: [REGION, REMOTE_REGION],
      seedHosts: hosts.slice(0, 2),
      storeAddress: standin.address,
      graceS: 4,
    });
  const remote = createInstance(
    programs[0]!,
    toLoopbackAddress(FIRST_HOST + names.length),
    "remote-0",
  );
  const instances = names.map((program, at) =>
    createInstance(program, hosts[at]!, `front-${String(at).padStart(2, "0")}`)
  );
  const samples: Sample[] = [];
  try {
    await startAndMeasure(remote);
    const startMs: number[] = [];
    // One after the other, so that their starts do not compete.
    for (const instance of instances) {
      startMs.push(await startAndMeasure(instance));
    }
    await wait(SETTLE_MS);
    const measured = instances.slice(UNMEASURED);
    const idle = await measure(measured, () => wait(IDLE_MS));
    const idleResidentMb = measured.map((each) => readStatusMb(each, "VmRSS"));
    const load = await measure(
      measured,
      () =>
        Promise.all(measured.map(({ host }, at) =>
          runInstanceLoad({
            host,
            offsetMs: 1_000 / CALLS_PER_SECOND * at / measured.length,
            port: PLATFORM_PORTS.callers,
            rate: CALLS_PER_SECOND,
            durationMs: LOAD_MS,
            streamEvents: STREAM_EVENTS,
          })
        )),
    );
    measured.forEach((instance, at) => {
      const idleMsPerSecond = idle.cpuMs[at]! / idle.seconds;
      const { complete, failed } = load.result[at]!;
      const cpuMs = load.cpuMs[at]!;
      samples.push({
        program: names[UNMEASURED + at]!,
        startMs: startMs[UNMEASURED + at]!,
        idleMsPerSecond,
        idleResidentMb: idleResidentMb[at]!,
        loadMsPerSecond: cpuMs / load.seconds,
        calls: complete,
        failed,
        msPerCall: (cpuMs - idleMsPerSecond * load.seconds) / complete,
        residentMb: readStatusMb(instance, "VmRSS"),
        peakMb: readStatusMb(instance, "VmHWM"),
      });
    });
  } finally {
    await stop([...instances, remote]);
    await servers.terminate();
    standin.close();
  }
  return toResult(programs, samples);
}

function toResult(
  programs: readonly string[],
  samples: readonly Sample[],
): BenchResult {
  const rows = programs.flatMap((program) => {
    const own = samples.filter((sample) => sample.program === program);
    const means = toColumns(own.map(toNumbers)).map(computeMean);
    return [...own.map(toNumbers), means].map((numbers, at) => [
      at < own.length ? program : `mean of ${own.length}`,
      ...numbers.map((value) => toCell(value, 2)),
    ]);
  });
  const last = samples.filter(({ program }) => program === programs.at(-1));
  const mean = (read: (sample: Sample) => number) =>
    computeMean(last.map(read));
  return {
    head: [
      "PROGRAM",
      "START MS",
      "IDLE MS/S",
      "IDLE MB",
      "LOAD MS/S",
      "CALLS",
      "FAILED",
      "MS/CALL",
      "MB",
      "PEAK MB",
    ],
    rows,
    figures: {
      start_cpu_ms: mean(({ startMs }) => startMs),
      idle_cpu_ms_per_s: mean(({ idleMsPerSecond }) => idleMsPerSecond),
      call_cpu_ms: mean(({ msPerCall }) => msPerCall),
      peak_mb: mean(({ peakMb }) => peakMb),
    },
    notes: [
      `${CALLS_PER_SECOND} calls per second and instance for ${
        LOAD_MS / 1_000
      } s: a third each of streams of ${STREAM_EVENTS} events, of 3 events, and plain calls`,
      "START: processor time until the instance is ready. MS/CALL: without what the process uses idle",
      ...(PROFILE_FOLDER === undefined ? [] : formatProfile(PROFILE_FOLDER)),
    ],
  };
}

function toNumbers(sample: Sample): readonly number[] {
  const { program: _, ...numbers } = sample;
  return Object.values(numbers);
}

function toColumns(rows: readonly (readonly number[])[]): number[][] {
  return (rows[0] ?? []).map((_, at) => rows.map((row) => row[at]!));
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}

/** Writes the configuration and the entries of the servers to the store. */
async function configure(
  store: MemoryStore,
  ports: readonly number[],
): Promise<void> {
  const operator = new PlatformOperator(store, systemClock);
  const route = (
    name: string,
    kind: "streaming" | "unsafe",
    service: string,
  ) => ({
    name,
    kind,
    service,
    host: BENCH_HOST,
    prefix: `/${name}/`,
    timeoutMs: 10_000,
  });
  await operator.configure(
    1,
    [
      route("long", "streaming", "model"),
      route("short", "streaming", "model"),
      route("plain", "unsafe", "records"),
    ],
    undefined,
    { model: { slots: ENGINE_SLOTS, cacheTokens: 405_829 } },
  );
  for (const [at, port] of ports.entries()) {
    const isEngine = at < ENGINES;
    await operator.register({
      id: `s-${at}`,
      service: isEngine ? "model" : "records",
      address: `127.0.0.1:${port}`,
      region: REGION,
      slots: isEngine ? ENGINE_SLOTS : 64,
      isDraining: false,
      startedMs: 1_000 + at,
    });
  }
}

/** Starts an instance, and returns its processor time until it is ready, in milliseconds. */
async function startAndMeasure(instance: PlatformProcess): Promise<number> {
  instance.start();
  while (!await instance.isReady()) await wait(READY_POLL_MS);
  return readCpuMs(instance);
}

/** Measures the processor time of instances while an action runs. */
async function measure<T>(
  instances: readonly PlatformProcess[],
  run: () => Promise<T>,
): Promise<
  {
    readonly cpuMs: readonly number[];
    readonly seconds: number;
    readonly result: T;
  }
> {
  const before = instances.map(readCpuMs);
  const startMs = performance.now();
  const result = await run();
  const seconds = (performance.now() - startMs) / 1_000;
  const cpuMs = instances.map((each, at) => readCpuMs(each) - before[at]!);
  return { cpuMs, seconds, result };
}

/** Returns the processor time of all threads of an instance so far, in milliseconds. */
function readCpuMs({ pid }: PlatformProcess): number {
  return readdirSync(`/proc/${pid}/task`).reduce((sum, thread) => {
    const path = `/proc/${pid}/task/${thread}/schedstat`;
    return sum + Number(readFileSync(path, "utf8").split(" ")[0]) / 1e6;
  }, 0);
}

function readStatusMb({ pid }: PlatformProcess, field: string): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const [, kilobytes] = new RegExp(`${field}:\\s+(\\d+)`).exec(status) ?? [];
  return Number(kilobytes) / 1_000;
}

/** Ends instances; one that profiles itself writes its profile when it shuts down. */
async function stop(instances: readonly PlatformProcess[]): Promise<void> {
  if (PROFILE_FOLDER !== undefined) {
    instances.forEach((each) => each.signal("SIGTERM"));
    await Promise.all(instances.map((each) => each.awaitExit()));
  }
  instances.forEach((each) => each.destroy());
  await Promise.all(instances.map((each) => each.awaitExit()));
}

/** Options with which one of the measured instances profiles itself. */
function toProfileOptions(name: string): readonly string[] {
  if (PROFILE_FOLDER === undefined || name !== `front-0${UNMEASURED}`) {
    return [];
  }
  mkdirSync(PROFILE_FOLDER, { recursive: true });
  return ["--cpu-prof", `--cpu-prof-dir=${PROFILE_FOLDER}`];
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
