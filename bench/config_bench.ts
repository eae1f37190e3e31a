import { createRandom } from "../clock/mod.ts";
import { FakeFleet, hashToken } from "../standin/mod.ts";
import { type BenchResult, computeQuantile, toCell } from "./bench_case.ts";

const CHANGES = 40;
const CHANGE_INTERVAL_MS = 1_500;
const MAX_WAIT_MS = 15_000;
const STEP_MS = 2;

/** Measures how long a change takes to be in force everywhere, and the calls and bytes that it costs. */
export async function runConfigBench(): Promise<BenchResult> {
  const rows: string[][] = [];
  const figures: Record<string, number> = {};
  const cases: readonly (readonly [string, Fault, number])[] = [
    ["calm", "none", 3],
    ["a third restarts", "restarts", 3],
    ["store at 200 ms", "slow", 3],
    ["5% loss of heartbeats", "loss", 3],
    ["one region cut off, and back", "cut", 3],
    ["calm, 27 daemons", "none", 9],
    ["calm, 60 daemons", "none", 20],
  ];
  for (const [name, fault, perRegion] of cases) {
    const run = await runCase(fault, perRegion);
    rows.push([
      name,
      toCell(run.p50, 0),
      toCell(run.max, 0),
      String(run.reverts),
      toCell(run.callsPerSecond, 1),
      toCell(run.bytesPerChange, 0),
    ]);
    const key = name.replaceAll(/[^a-z0-9]+/g, "_");
    figures[`${key}_p50`] = run.p50;
    figures[`${key}_max`] = run.max;
    figures[`${key}_reverts`] = run.reverts;
    figures[`${key}_bytes_per_change`] = run.bytesPerChange;
    figures[`${key}_store_calls`] = run.callsPerSecond;
  }
  const burst = await runBurst();
  rows.push([
    "burst of 100",
    toCell(burst.p50, 0),
    toCell(burst.max, 0),
    "0",
    "-",
    toCell(burst.bytesPerChange, 0),
  ]);
  figures.burst_refused = burst.refused;
  figures.burst_max = burst.max;
  figures.burst_bytes_per_change = burst.bytesPerChange;
  return {
    head: [
      "CASE",
      "IN FORCE P50 MS",
      "MAX MS",
      "REVERTS",
      "STORE CALLS /S",
      "PEER BYTES PER CHANGE AND DAEMON",
    ],
    rows,
    figures,
    notes: [
      "time from acceptance until in force at every daemon that is up (cut off: since its reconnection)",
      "a waiting watch counts as one store call; the aim is 3 s",
      `burst: 100 changes at once through three daemons; ${burst.refused} refused`,
    ],
  };
}

type Fault = "none" | "restarts" | "slow" | "loss" | "cut";

async function runCase(fault: Fault, perRegion: number) {
  const fleet = new FakeFleet({ daemonsPerRegion: perRegion });
  await fleet.clock.advance(4_000);
  if (fault === "slow") fleet.store.faults.latencyMs = 200;
  if (fault === "loss") fleet.network.lossShare = 0.05;
  const random = createRandom(23);
  const durationsMs: number[] = [];
  const highestSequences = new Map<string, number>();
  let reverts = 0;
  const before = readCost(fleet);
  const startMs = fleet.clock.nowMs();
  for (let index = 0; index < CHANGES; index++) {
    if (fault === "restarts" && index % 5 === 0) {
      restartThirdOfDaemons(fleet, random.nextFloat());
    }
    const isCut = fault === "cut" && index % 10 === 5;
    if (isCut) fleet.cutOff("r3");
    const acceptor = fleet
      .daemons[Math.floor(random.nextFloat() * (isCut ? 6 : 9))]!;
    const accepted = fleet.call(acceptor, {
      token: "operator-token",
      path: "/api/v1/changes",
      body: { changes: [createTeam(index)] },
    });
    let sequence = 0;
    void accepted.then((reply) => {
      const isWhole = reply.kind === "whole" && reply.status === 200;
      if (isWhole) {
        sequence =
          (JSON.parse(String(reply.body)) as { sequence: number }).sequence;
      }
    });
    let acceptedMs = 0;
    let waitedMs = 0;
    for (; waitedMs < MAX_WAIT_MS; waitedMs += STEP_MS) {
      await fleet.clock.advance(STEP_MS);
      reverts += countReverts(fleet, highestSequences);
      if (sequence > 0 && acceptedMs === 0) acceptedMs = fleet.clock.nowMs();
      if (isCut && waitedMs >= 3_000 && fleet.network.cutRegions.size > 0) {
        fleet.rejoin("r3");
        acceptedMs = fleet.clock.nowMs();
      }
      const isEverywhere = fleet.daemons.every(({ gateway }) =>
        gateway.configuration.sequence >= sequence
      );
      if (sequence > 0 && isEverywhere && fleet.network.cutRegions.size === 0) {
        break;
      }
    }
    if (sequence > 0) {
      durationsMs.push(Math.max(0, fleet.clock.nowMs() - acceptedMs));
    }
    await fleet.clock.advance(Math.max(0, CHANGE_INTERVAL_MS - waitedMs));
  }
  const seconds = (fleet.clock.nowMs() - startMs) / 1_000;
  const after = readCost(fleet);
  fleet.stop();
  return {
    p50: computeQuantile(durationsMs, 0.5),
    max: Math.max(...durationsMs),
    reverts,
    callsPerSecond: (after.storeCalls - before.storeCalls) / seconds,
    bytesPerChange: (after.callBytes - before.callBytes) / CHANGES /
      fleet.daemons.length,
  };
}

async function runBurst() {
  const fleet = new FakeFleet();
  await fleet.clock.advance(4_000);
  const before = readCost(fleet);
  const startMs = fleet.clock.nowMs();
  const replies = Array.from(
    { length: 100 },
    (_, index) =>
      fleet.call(fleet.daemons[(index % 3) * 3]!, {
        token: "operator-token",
        path: "/api/v1/changes",
        body: { changes: [createTeam(index)] },
      }),
  );
  let done = 0;
  let refused = 0;
  replies.forEach((reply) =>
    void reply.then((each) => {
      done++;
      if (each.kind === "whole" && each.status !== 200) refused++;
    })
  );
  const durationsMs: number[] = [];
  for (let waitedMs = 0; waitedMs < 60_000; waitedMs += STEP_MS) {
    await fleet.clock.advance(STEP_MS);
    const sequences = fleet.daemons.map(({ gateway }) =>
      gateway.configuration.sequence
    );
    const isSame = Math.min(...sequences) === Math.max(...sequences);
    if (done === 100 && isSame) break;
  }
  durationsMs.push(fleet.clock.nowMs() - startMs);
  const after = readCost(fleet);
  const accepted = fleet.daemons[0]!.gateway.configuration.sequence;
  fleet.stop();
  return {
    refused,
    p50: durationsMs[0]!,
    max: durationsMs[0]!,
    bytesPerChange: (after.callBytes - before.callBytes) /
      Math.max(1, accepted) / 9,
  };
}

function createTeam(index: number) {
  return {
    kind: "team",
    name: `team-${index}`,
    spec: {
      tokenHashes: [hashToken(`token-${index}`)],
      requestsPerSecond: 10 + index,
    },
  };
}

function restartThirdOfDaemons(fleet: FakeFleet, share: number): void {
  const offset = Math.floor(share * 3);
  fleet.daemons.filter((_, index) => index % 3 === offset).forEach((daemon) => {
    fleet.kill(daemon);
    fleet.start(daemon.record);
  });
}

/**
 * Counts daemons whose sequence is lower than before. A restarted daemon has a new
 * incarnation and may begin again; one that stays up must never go back.
 */
function countReverts(
  fleet: FakeFleet,
  highestSequences: Map<string, number>,
): number {
  return fleet.daemons.filter(({ gateway }) => {
    const known = highestSequences.get(gateway.incarnation) ?? 0;
    highestSequences.set(
      gateway.incarnation,
      Math.max(known, gateway.configuration.sequence),
    );
    return gateway.configuration.sequence < known;
  }).length;
}

function readCost(fleet: FakeFleet) {
  const { reads, writes, watches } = fleet.store.counts;
  const callBytes = [...fleet.network.counts.values()]
    .reduce((sum, counts) => sum + counts.callBytes, 0);
  return { storeCalls: reads + writes + watches, callBytes };
}
