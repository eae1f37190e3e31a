import { ConfigurationState } from "../configuration/mod.ts";
import { FakeFleet, hashToken } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

/** Daemons in each of 3 regions, and the share of the planned catalog that is declared. */
const SIZES: readonly (readonly [perRegion: number, share: number])[] = [
  [3, 0.01],
  [3, 0.1],
  [3, 0.33],
  [3, 1],
  [9, 0.1],
  [15, 0.1],
];
/** Engines and teams of the planned catalog. */
const ENGINES = 2_700;
const TEAMS = 1_000;
const RUN_MS = 20_000;

/** Measures what the control plane costs a daemon, by sizes of the catalog and of the fleet. */
export async function runControlBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const [perRegion, share] of SIZES) {
    const run = await runSize(perRegion, share);
    rows.push([
      String(perRegion * 3),
      String(Math.round(ENGINES * share)),
      String(Math.round(TEAMS * share)),
      toCell(run.catalogKilobytes, 0),
      toCell(run.heapMegabytes, 2),
      toCell(run.applyMs, 2),
      toCell(run.cpuMillis, 2),
      toCell(run.sentBytes, 0),
      toCell(run.callBytes, 0),
      toCell(run.restartKilobytes, 0),
      toCell(run.storeCalls, 2),
      toCell(run.restartStoreCalls, 1),
    ]);
    const key = `${perRegion * 3}_${Math.round(share * 100)}`;
    Object.entries(run).forEach((
      [name, value],
    ) => (figures[`${name}_${key}`] = value));
  }
  return {
    head: [
      "DAEMONS",
      "ENGINES",
      "TEAMS",
      "CATALOG KB",
      "HEAP MB",
      "APPLY MS",
      "CPU MS/S",
      "SENT B/S",
      "CALLS B/S",
      "RESTART KB",
      "STORE CALLS/S",
      "AT RESTART",
    ],
    rows,
    figures,
    notes: [
      "for each daemon; engines and teams are spread evenly over 3 regions; heap: what one more copy",
      "of the catalog takes with its indexes; CPU: that of the whole fleet and its fakes, per daemon",
    ],
  };
}

async function runSize(perRegion: number, share: number) {
  const fleet = new FakeFleet({
    daemonsPerRegion: perRegion,
    storeCallsPerSecond: 2_000,
  });
  await fleet.clock.advance(3_000);
  const resources = createResources(share);
  for (let at = 0; at < resources.length; at += 1_000) {
    await fleet.apply(resources.slice(at, at + 1_000));
  }
  const { configuration } = fleet.daemons[0]!.gateway;
  const snapshot = configuration.toSnapshot();
  const heapMegabytes = measureHeap(JSON.stringify(snapshot));
  const applyMs = await measureApply(fleet);
  await fleet.clock.advance(5_000);
  const before = readCounts(fleet);
  const cpu = process.cpuUsage();
  await fleet.clock.advance(RUN_MS);
  const spent = process.cpuUsage(cpu);
  const after = readCounts(fleet);
  const daemons = fleet.daemons.length;
  const seconds = RUN_MS / 1_000;
  const stoppedDaemon = fleet.daemons.at(-1)!;
  fleet.kill(stoppedDaemon);
  const beforeIdle = readCounts(fleet);
  await fleet.clock.advance(10_000);
  const beforeRestart = readCounts(fleet);
  const restarted = fleet.start(stoppedDaemon.record);
  await fleet.clock.advance(10_000);
  const afterRestart = readCounts(fleet);
  const isUpToDate =
    restarted.gateway.configuration.sequence === configuration.sequence;
  fleet.stop();
  if (!isUpToDate) {
    throw new Error(
      "Restarted daemon did not reach the configuration sequence of the fleet within 10 s",
    );
  }
  return {
    catalogKilobytes: JSON.stringify(snapshot).length / 1_000,
    heapMegabytes,
    applyMs,
    cpuMillis: (spent.user + spent.system) / 1_000 / seconds / daemons,
    sentBytes: (after.sent - before.sent) / seconds / daemons,
    callBytes: (after.calls - before.calls) / seconds / daemons,
    restartKilobytes: (afterRestart.calls - beforeRestart.calls -
      (beforeRestart.calls - beforeIdle.calls)) /
      1_000,
    storeCalls: (after.store - before.store) / seconds / daemons,
    restartStoreCalls: afterRestart.store - beforeRestart.store -
      (beforeRestart.store - beforeIdle.store),
  };
}

/** Returns the heap that one more copy of a catalog takes with its indexes, in MB. */
function measureHeap(text: string): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const copies = Array.from({ length: 4 }, () => {
    const state = new ConfigurationState();
    state.applySnapshot(
      JSON.parse(text) as ReturnType<ConfigurationState["toSnapshot"]>,
    );
    return state;
  });
  globalThis.gc?.();
  const after = process.memoryUsage().heapUsed;
  return (after - before) / copies.length / 1_000_000;
}

/** Returns the mean time to apply one change to a copy of the configuration, in milliseconds. */
async function measureApply(fleet: FakeFleet): Promise<number> {
  const { configuration } = fleet.daemons[0]!.gateway;
  const state = new ConfigurationState();
  state.applySnapshot(configuration.toSnapshot());
  const start = performance.now();
  const rounds = 20;
  for (let round = 1; round <= rounds; round++) {
    state.apply({
      sequence: configuration.sequence + round,
      changeId: String(round),
      acceptedMs: 0,
      operator: "o",
      instance: "i",
      changes: [createTeam(round)],
    });
  }
  return await Promise.resolve((performance.now() - start) / rounds);
}

function readCounts(fleet: FakeFleet) {
  const counts = [...fleet.network.counts.values()];
  const { reads, writes, watches } = fleet.store.counts;
  return {
    sent: counts.reduce((sum, { sentBytes }) => sum + sentBytes, 0),
    calls: counts.reduce((sum, { callBytes }) => sum + callBytes, 0),
    store: reads + writes + watches,
  };
}

function createResources(share: number) {
  const models = Array.from({ length: 8 }, (_, index) => ({
    kind: "model",
    name: `model-${index}`,
    spec: {},
  }));
  const services = models.map((model, index) => ({
    kind: "service",
    name: `service-${index}`,
    spec: { model: model.name },
  }));
  const engines = Array.from(
    { length: Math.round(ENGINES * share) },
    (_, index) => ({
      kind: "engine",
      name: `engine-${index}`,
      spec: {
        service: `service-${index % 8}`,
        region: `r${index % 3 + 1}`,
        failureDomain: `fd-${index % 63}`,
        url: `http://10.${index % 250}.${Math.floor(index / 250)}.1:8000`,
        slots: 16,
      },
    }),
  );
  const teams = Array.from(
    { length: Math.round(TEAMS * share) },
    (_, index) => createTeam(index),
  );
  return [...models, ...services, ...engines, ...teams];
}

function createTeam(index: number) {
  return {
    kind: "team" as const,
    name: `team-${index}`,
    spec: { tokenHashes: [hashToken(`token-${index}`)], requestsPerSecond: 10 },
  };
}
