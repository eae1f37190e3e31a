// Guards against calls that crash server after server by a prompt part that they share: only equal calls counted together.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import type {
  Arrival,
  VirtualFleet,
  VirtualFleetParts,
} from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

const BAD_PART = "bad";
const FIRST_PART = "first";
/** Time after the fifth crash from which the users count sends of the part, in milliseconds. */
const KNOWN_AFTER_MS = 5_000;
/** Sends that are allowed after that time. */
const ALLOWED_SENDS = 3;
/** Time after the fifth crash from which the users compare the service of sound calls, in milliseconds. */
const SERVED_AFTER_MS = 10_000;
/** Share of the sound calls that has to be served then, of the share that was served before. */
const MIN_SERVED_SHARE = 0.5;
/** Interval between sound calls, in milliseconds. */
const SOUND_INTERVAL_MS = 40;

/** How calls with the bad part come, and what they do to servers. */
interface Scenario {
  /** Shared parts of the nth call with the bad part. Default: the bad one is the second of three. */
  readonly toParts?: (nth: number) => readonly string[];
  readonly intervalMs?: number;
  readonly durationMs?: number;
  readonly crashAfterMs?: number;
  readonly fleet?: Partial<VirtualFleetParts>;
}

/** A sound call, and how it ended. */
interface SoundCall {
  readonly atMs: number;
  readonly parts: readonly string[];
  status?: number;
}

const REGIONS = {
  north: { instances: 3, servers: 3 },
  south: { instances: 3, servers: 2 },
  west: { instances: 3, servers: 1 },
};

function isBad({ parts }: Arrival): boolean {
  return parts.includes(BAD_PART);
}

async function startFleet(
  { crashAfterMs = 70, fleet = {} }: Scenario,
): Promise<VirtualFleet> {
  return await startVirtualFleet({
    regions: REGIONS,
    table: createRouteTable([createRoute("/a/")]),
    decide: (arrival) =>
      isBad(arrival)
        ? { kind: "end", afterMs: crashAfterMs }
        : { kind: "answer", afterMs: 120 },
    replacedAfterMs: 6_000,
    ...fleet,
  });
}

/** Sends sound calls that share their first part, for a while, and returns them. */
async function sendSoundCalls(
  fleet: VirtualFleet,
  durationMs: number,
  onRound: (atMs: number) => void = () => {},
): Promise<readonly SoundCall[]> {
  const calls: SoundCall[] = [];
  const startMs = fleet.clock.nowMs();
  for (let atMs = 0; atMs < durationMs; atMs += SOUND_INTERVAL_MS) {
    const parts = [FIRST_PART, `subject ${atMs % 37}`];
    const sent: SoundCall = { atMs: startMs + atMs, parts };
    calls.push(sent);
    void fleet.send({
      body: `sound ${startMs + atMs}`,
      parts: [...parts, `${atMs}`],
    })
      .then(({ status }) => sent.status = status);
    onRound(atMs);
    await fleet.clock.advance(SOUND_INTERVAL_MS);
  }
  return calls;
}

function computeServedShare(calls: readonly SoundCall[]): number {
  return calls.filter(({ status }) => status === 200).length / calls.length;
}

/** Plays a scenario, and returns what the users count. */
async function play(scenario: Scenario) {
  const {
    durationMs = 40_000,
    intervalMs = 400,
    toParts = (nth) => [FIRST_PART, BAD_PART, `third ${nth % 5}`],
  } = scenario;
  const fleet = await startFleet(scenario);
  const before = await sendSoundCalls(fleet, 10_000);
  const startMs = fleet.clock.nowMs();
  let sentCount = 0;
  const calls = await sendSoundCalls(fleet, durationMs, (atMs) => {
    while (sentCount * intervalMs <= atMs) {
      const nth = sentCount++;
      void fleet.send({
        body: `bad ${nth}`,
        parts: [...toParts(nth), `${nth}`],
      });
    }
  });
  await fleet.clock.advance(3_000);
  const sends = fleet.arrivals.filter(isBad);
  const crashed = [...new Map(sends.map((each) => [each.server, each])).keys()];
  const crashesMs = crashed.map((server) =>
    sends.find((send) => send.server === server)!.atMs
  );
  const fifthMs = crashesMs[4] ?? crashesMs.at(-1) ?? startMs;
  const isCounted = crashesMs.length >= 5;
  const late = isCounted
    ? sends.filter(({ atMs }) => atMs > fifthMs + KNOWN_AFTER_MS)
    : [];
  const served = calls.filter(({ atMs }) => atMs > fifthMs + SERVED_AFTER_MS);
  return {
    fleet,
    calls,
    crashCount: crashed.length,
    lateCount: late.length,
    servedBefore: computeServedShare(before),
    servedAfter: computeServedShare(served),
  };
}

type Played = Awaited<ReturnType<typeof play>>;

function assertBothRules(played: Played): void {
  const { crashCount, lateCount, servedAfter, servedBefore } = played;
  const figures = JSON.stringify({
    crashCount,
    lateCount,
    servedAfter,
    servedBefore,
  });
  assert.ok(lateCount <= ALLOWED_SENDS, figures);
  assert.ok(servedAfter >= MIN_SERVED_SHARE * servedBefore, figures);
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "is the second of three": {},
  "is the first": { toParts: (nth) => [BAD_PART, `second ${nth % 5}`] },
  "stands between parts that are new each time": {
    toParts: (nth) => [FIRST_PART, `new ${nth}`, BAD_PART, `third ${nth}`],
  },
  "comes with another part in each call": {
    toParts: () => [FIRST_PART, BAD_PART, "companion"],
  },
  "is reported over a network that loses a tenth of the reports": {
    fleet: { lostShare: 0.1 },
  },
  "comes every 1.5 s": { intervalMs: 1_500 },
  "comes every 60 ms": { intervalMs: 60 },
  "crashes servers 900 ms after the send": { crashAfterMs: 900 },
  "comes to twelve servers every 250 ms": {
    intervalMs: 250,
    fleet: {
      regions: {
        north: { instances: 3, servers: 6 },
        south: { instances: 3, servers: 4 },
        west: { instances: 3, servers: 2 },
      },
    },
  },
};

describe("a prompt part that crashes servers", () => {
  Object.entries(SCENARIOS).forEach(([name, scenario]) =>
    describe(`when it ${name}`, () => {
      it("is soon sent to servers no more, and sound calls with the same first part are served", async () => {
        assertBothRules(await play(scenario));
      });
    })
  );
});
