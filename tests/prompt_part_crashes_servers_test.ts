// Guards against calls that crash server after server by a prompt part that they share: only equal calls counted together.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  assertBothRules,
  BAD_PART,
  FIRST_PART,
  formatFigures,
  isBad,
  playScenario,
  REGIONS,
  type Scenario,
  sendSoundCalls,
  startScenarioFleet,
} from "./prompt_part_fixture.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import type { VirtualFleet } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

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
      it("is soon sent to servers no more, and sound calls with the same first part are served", async (context) => {
        const played = await playScenario(scenario);
        context.diagnostic(formatFigures(played));
        assertBothRules(played);
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
    const played = await playScenario({
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
    const fleet = await startScenarioFleet({});
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
    const { fleet } = await playScenario({ durationMs: 10_000 });
    fleet.start("west-0");
    await fleet.clock.advance(90_000);
    const before = fleet.arrivals.filter((each) => isBad(each)).length;
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
    const sends = fleet.arrivals.filter((each) => isBad(each)).length - before;
    assert.equal(sends, 1);
  });

  it("does not keep calls of another model from being served", async () => {
    const { fleet } = await playScenario({ durationMs: 10_000 });
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
    const { fleet } = await playScenario({
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
