import { FakeFleet } from "../standin/mod.ts";
import { type BenchResult, toCell } from "./bench_case.ts";

const WARMUP_MS = 5_000;
const RUN_MS = 30_000;
const STEP_MS = 50;
const MAX_WAIT_MS = 20_000;

/** Fleet sizes: number of regions, daemons per region. */
const SIZES: readonly (readonly [number, number])[] = [
  [3, 3],
  [3, 9],
  [3, 20],
  [22, 3],
  [22, 6],
];

/** Measures heartbeat traffic of membership, and the time until dead and leaving daemons are known. */
export async function runMembershipBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  for (const [regions, perRegion] of SIZES) {
    const run = await measureFleet(regions, perRegion);
    const size = regions * perRegion;
    rows.push([
      `${regions} x ${perRegion}`,
      toCell(run.sentMean, 0),
      toCell(run.sentMax, 0),
      toCell(run.receivedMax, 0),
      toCell(run.deadMs, 0),
      toCell(run.leavingMs, 0),
      String(run.flaps),
      toCell(run.rejoinedMs, 0),
      toCell(run.cpuMicros, 0),
    ]);
    figures[`sent_mean_${regions}x${perRegion}`] = run.sentMean;
    figures[`sent_max_${regions}x${perRegion}`] = run.sentMax;
    figures[`received_max_${regions}x${perRegion}`] = run.receivedMax;
    figures[`dead_ms_${regions}x${perRegion}`] = run.deadMs;
    figures[`leaving_ms_${regions}x${perRegion}`] = run.leavingMs;
    figures[`flaps_${regions}x${perRegion}`] = run.flaps;
    figures[`joined_ms_${regions}x${perRegion}`] = run.rejoinedMs;
    figures[`cpu_us_per_s_${size}`] = run.cpuMicros;
  }
  return {
    head: [
      "REGIONS X DAEMONS",
      "SENT MEAN B/S",
      "SENT MAX",
      "RECEIVED MAX",
      "DEAD KNOWN MS",
      "LEAVING KNOWN MS",
      "FLAPS AT 5% LOSS",
      "REJOINED MS",
      "CPU US PER DAEMON AND S",
    ],
    rows,
    figures,
    notes: [
      "bytes include IP and UDP headers; dead, leaving: time until each daemon of the region knows",
      "rejoined: time after a region was split for 10 s until each member considers every other live",
    ],
  };
}

async function measureFleet(regions: number, perRegion: number) {
  const fleet = new FakeFleet({
    regions: Array.from({ length: regions }, (_, index) => `r${index + 1}`),
    daemonsPerRegion: perRegion,
  });
  await fleet.clock.advance(WARMUP_MS);
  fleet.network.counts.clear();
  const startCpu = process.cpuUsage();
  await fleet.clock.advance(RUN_MS);
  const cpu = process.cpuUsage(startCpu);
  const counts = [...fleet.network.counts.values()];
  const sent = counts.map(({ sentBytes }) => sentBytes / (RUN_MS / 1_000));
  const received = counts.map(({ receivedBytes }) =>
    receivedBytes / (RUN_MS / 1_000)
  );
  const flaps = await countFlaps(fleet);
  const leavingMs = await measureLeavingMs(fleet);
  const deadMs = await measureDeathMs(fleet);
  const rejoinedMs = await measureRejoinMs(fleet);
  fleet.stop();
  return {
    sentMean: sent.reduce((sum, value) => sum + value, 0) / sent.length,
    sentMax: Math.max(...sent),
    receivedMax: Math.max(...received),
    flaps,
    deadMs,
    leavingMs,
    rejoinedMs,
    cpuMicros: (cpu.user + cpu.system) / (RUN_MS / 1_000) /
      fleet.daemons.length,
  };
}

/** Counts how often a daemon considers a live one dead, over two minutes with 5% packet loss. */
async function countFlaps(fleet: FakeFleet): Promise<number> {
  fleet.network.lossShare = 0.05;
  let flaps = 0;
  const dead = new Set<string>();
  for (let passedMs = 0; passedMs < 120_000; passedMs += 200) {
    await fleet.clock.advance(200);
    fleet.daemons.forEach(({ record, gateway }) =>
      gateway.membership.members.forEach((member) => {
        const key = `${record.id} ${member.record.id}`;
        const isDead = member.status === "dead";
        if (isDead && !dead.has(key)) flaps++;
        if (isDead) dead.add(key);
        else dead.delete(key);
      })
    );
  }
  fleet.network.lossShare = 0;
  await fleet.clock.advance(5_000);
  return flaps;
}

/** Returns the time until no peer considers a daemon live after it starts to shut down gracefully, in milliseconds. */
async function measureLeavingMs(fleet: FakeFleet): Promise<number> {
  const leaving = fleet.daemons[1]!;
  void leaving.gateway.leave(new AbortController().signal);
  return await measureWaitMs(
    fleet,
    () =>
      listStatusesAtPeers(fleet, leaving.record.id).every((status) =>
        status !== "live"
      ),
  );
}

/** Returns the time until each peer considers a killed daemon dead, in milliseconds. */
async function measureDeathMs(fleet: FakeFleet): Promise<number> {
  const killed = fleet.daemons[2]!;
  fleet.kill(killed);
  return await measureWaitMs(
    fleet,
    () =>
      listStatusesAtPeers(fleet, killed.record.id).every((status) =>
        status === "dead"
      ),
  );
}

/**
 * Splits the last region in two for 10 s and returns the time after that until
 * its members consider each other live, in milliseconds.
 */
async function measureRejoinMs(fleet: FakeFleet): Promise<number> {
  const { region } = fleet.daemons.at(-1)!.record;
  const members = fleet.daemons.filter(({ record }) =>
    record.region === region
  );
  const cutOff = members.slice(0, Math.floor(members.length / 2));
  cutOff.forEach(({ record }) => fleet.network.silent.add(record.id));
  await fleet.clock.advance(10_000);
  fleet.network.silent.clear();
  return await measureWaitMs(
    fleet,
    () =>
      members.every(({ gateway }) =>
        gateway.membership.members.every(({ status }) => status === "live")
      ),
  );
}

function listStatusesAtPeers(fleet: FakeFleet, id: string): readonly string[] {
  const { region } =
    fleet.daemons.find(({ record }) => record.id === id)!.record;
  return fleet.daemons
    .filter(({ record, ended }) =>
      record.region === region && record.id !== id && !ended.signal.aborted
    )
    .flatMap(({ gateway }) =>
      gateway.membership.members.filter(({ record }) => record.id === id)
        .map(({ status }) => status)
    );
}

async function measureWaitMs(
  fleet: FakeFleet,
  isReached: () => boolean,
): Promise<number> {
  for (let passedMs = 0; passedMs < MAX_WAIT_MS; passedMs += STEP_MS) {
    if (isReached()) return passedMs;
    await fleet.clock.advance(STEP_MS);
  }
  return MAX_WAIT_MS;
}
