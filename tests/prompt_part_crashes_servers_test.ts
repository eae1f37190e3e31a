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
  /** Shared parts of a sound call. Default: the same first part, and one of 37 subjects. */
  readonly toSoundParts?: (
    atMs: number,
    isBefore: boolean,
  ) => readonly string[];
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
  toParts = (atMs: number): readonly string[] => [
    FIRST_PART,
    `subject ${atMs % 37}`,
  ],
): Promise<readonly SoundCall[]> {
  const calls: SoundCall[] = [];
  const startMs = fleet.clock.nowMs();
  for (let atMs = 0; atMs < durationMs; atMs += SOUND_INTERVAL_MS) {
    const parts = toParts(atMs);
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
    toSoundParts = (atMs) => [FIRST_PART, `subject ${atMs % 37}`],
  } = scenario;
  const fleet = await startFleet(scenario);
  const before = await sendSoundCalls(
    fleet,
    10_000,
    () => {},
    (atMs) => toSoundParts(atMs, true),
  );
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
  }, (atMs) => toSoundParts(atMs, false));
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

/** Returns whether some instance quarantines a prompt part. */
function quarantinesPart({ gateways }: VirtualFleet): boolean {
  return [...gateways.values()].some(({ forwarder }) =>
    forwarder.quarantine.quarantinedPartCount > 0
  );
}

describe("sound calls", () => {
  it("are served though their parts were first asked for while the bad part crashes servers", async () => {
    const played = await play({
      toSoundParts: (atMs, isBefore) =>
        isBefore
          ? [FIRST_PART, "old"]
          : [`new first ${atMs % 3}`, `new ${atMs % 37}`],
    });
    assertBothRules(played);
    const parts = new Set(played.calls.map((each) => each.parts.join()));
    parts.forEach((each) => {
      const late = played.calls.slice(-400).filter((call) =>
        call.parts.join() === each
      );
      assert.ok(late.some(({ status }) => status === 200), each);
    });
  });

  it("are served though another call with their parts is quarantined as a whole", async () => {
    const fleet = await startFleet({});
    const parts = ["seldom", "own"];
    const equal = () =>
      void fleet.send({ body: "equal", parts: ["seldom", BAD_PART, "own"] });
    for (let round = 0; round < 20; round++) {
      equal();
      await fleet.clock.advance(500);
    }
    await fleet.clock.advance(5_000);
    const statuses: number[] = [];
    for (let round = 0; round < 10; round++) {
      void fleet.send({ body: `sound ${round}`, parts })
        .then(({ status }) => statuses.push(status));
      await fleet.clock.advance(1_000);
    }
    await fleet.clock.advance(3_000);
    assert.ok(statuses.filter((status) => status === 200).length >= 8);
  });

  it("are refused for no part when servers crash without a common cause", async () => {
    const fleet = await startVirtualFleet({
      regions: REGIONS,
      table: createRouteTable([createRoute("/a/")]),
      decide: ({ body }) =>
        body.startsWith("crash")
          ? { kind: "end", afterMs: 70 }
          : { kind: "answer", afterMs: 120 },
      replacedAfterMs: 3_000,
    });
    await sendSoundCalls(fleet, 3_000);
    let crashCount = 0;
    let isPartHeld = false;
    await sendSoundCalls(fleet, 30_000, (atMs) => {
      isPartHeld ||= quarantinesPart(fleet);
      if (atMs % 1_000 !== 0) return;
      const nth = crashCount++;
      const parts = [FIRST_PART, `subject ${nth % 37}`, `${nth}`];
      void fleet.send({ body: `crash ${nth}`, parts });
    });
    const crashing = fleet.arrivals.filter(({ body }) =>
      body.startsWith("crash")
    );
    assert.ok(crashing.length >= 20);
    assert.ok(!isPartHeld);
  });

  it("are soon served again when all that had a new part lost their servers at once", async () => {
    let mayCrash = true;
    const fleet = await startVirtualFleet({
      regions: REGIONS,
      table: createRouteTable([createRoute("/a/")]),
      decide: ({ parts }) =>
        mayCrash && parts.includes("new")
          ? { kind: "end", afterMs: 300 }
          : { kind: "answer", afterMs: 120 },
      replacedAfterMs: 3_000,
    });
    Array.from(
      { length: 40 },
      (_, nth) => void fleet.send({ body: `${nth}`, parts: ["new", `${nth}`] }),
    );
    await fleet.clock.advance(1_000);
    mayCrash = false;
    assert.ok(quarantinesPart(fleet));
    const statuses: number[] = [];
    for (let atMs = 0; atMs < 20_000; atMs += 100) {
      const sent = fleet.send({ body: `late ${atMs}`, parts: ["new", "own"] });
      if (atMs > 10_000) void sent.then(({ status }) => statuses.push(status));
      await fleet.clock.advance(100);
    }
    await fleet.clock.advance(3_000);
    assert.deepEqual([...new Set(statuses)], [200]);
    assert.ok(!quarantinesPart(fleet));
  });
});

describe("a quarantined prompt part", () => {
  it("is known to an instance that starts later, and tried by one instance at a time after a pause", async () => {
    const { fleet } = await play({ durationMs: 10_000 });
    fleet.start("west-0");
    await fleet.clock.advance(90_000);
    const before = fleet.arrivals.filter(isBad).length;
    for (let round = 0; round < 4; round++) {
      [...fleet.gateways.keys()].forEach((address) =>
        void fleet.send({
          body: `again ${address} ${round}`,
          parts: [FIRST_PART, BAD_PART, "own"],
          address,
        })
      );
      await fleet.clock.advance(500);
    }
    await fleet.clock.advance(5_000);
    const sends = fleet.arrivals.filter(isBad).length - before;
    assert.equal(sends, 1);
  });

  it("does not keep calls of another model from being served", async () => {
    const { fleet } = await play({ durationMs: 10_000 });
    await fleet.clock.advance(10_000);
    const before = fleet.arrivals.length;
    void fleet.send({
      body: "other",
      parts: [FIRST_PART, BAD_PART, "own"],
      model: "other",
    });
    await fleet.clock.advance(50);
    assert.equal(fleet.arrivals.length, before + 1);
  });

  it("is refused with the time of the next trial, and served again once a trial is answered", async () => {
    let mayCrash = true;
    const { fleet } = await play({
      durationMs: 20_000,
      fleet: {
        decide: (arrival) =>
          isBad(arrival) && mayCrash
            ? { kind: "end", afterMs: 70 }
            : { kind: "answer", afterMs: 120 },
      },
    });
    mayCrash = false;
    const statuses: number[] = [];
    for (let atMs = 0; atMs < 90_000; atMs += 1_000) {
      void fleet.send({
        body: `mended ${atMs}`,
        parts: [FIRST_PART, BAD_PART, "own"],
      }).then(({ headers, status }) => {
        statuses.push(status);
        if (status === 503) assert.ok(headers.includes("Retry-After"));
      });
      await fleet.clock.advance(1_000);
    }
    assert.equal(statuses[0], 503);
    assert.deepEqual([...new Set(statuses.slice(-10))], [200]);
  });
});
