// Guards against a call that crashes server after server: its crashes were known to one exchange, not to other ids and instances.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import { type Arrival, VirtualFleet } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

const CRASHING_BODY = "the call that ends servers";
/** Time after which all instances must quarantine the call, as users measure it, in milliseconds. */
const QUARANTINED_AFTER_MS = 5_000;
/** Sends that are allowed after that time. */
const ALLOWED_SENDS = 3;

/** Starts three regions as in a small deployment; `lostShare` of the datagrams get lost. */
async function startFleet(lostShare = 0): Promise<VirtualFleet> {
  const fleet = await startVirtualFleet({
    regions: {
      north: { instances: 3, servers: 3 },
      south: { instances: 3, servers: 2 },
      west: { instances: 3, servers: 1 },
    },
    table: createRouteTable([createRoute("/a/")]),
    decide: ({ body, server }) =>
      body === CRASHING_BODY
        ? { kind: "end", afterMs: server.startsWith("west") ? 1_500 : 70 }
        : { kind: "answer", afterMs: 120 },
    replacedAfterMs: 6_000,
    lostShare,
  });
  return fleet;
}

/** Sends the crashing call at intervals, among other calls, and returns the statuses of the others. */
async function sendCalls(
  fleet: VirtualFleet,
  { durationMs, intervalMs }: {
    readonly durationMs: number;
    readonly intervalMs: number;
  },
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += intervalMs) {
    void fleet.call(CRASHING_BODY);
    Array.from(
      { length: 4 },
      (_, nth) =>
        void fleet.call(`other ${atMs} ${nth}`)
          .then(({ status }) => statuses.push(status)),
    );
    await fleet.clock.advance(intervalMs);
  }
  await fleet.clock.advance(3_000);
  return statuses;
}

function listCrashingSends({ arrivals }: VirtualFleet): readonly Arrival[] {
  return arrivals.filter(({ body }) => body === CRASHING_BODY);
}

/** Counts the sends of the call more than five seconds after it reached a third server. */
function countLateSends(fleet: VirtualFleet): number {
  const sends = listCrashingSends(fleet);
  const servers = [...new Set(sends.map(({ server }) => server))];
  const thirdCrash = sends.find(({ server }) => server === servers[2]);
  if (thirdCrash === undefined) return 0;
  return sends.filter(({ atMs }) =>
    atMs > thirdCrash.atMs + QUARANTINED_AFTER_MS
  ).length;
}

describe("a call that many callers send", () => {
  it("is answered though servers crash while they have it, also when its answer is a 404", async () => {
    const fleet = await startVirtualFleet({
      regions: { north: { instances: 1, servers: 7 } },
      table: createRouteTable([createRoute("/a/")]),
      decide: ({ body }) =>
        body === "popular"
          ? { kind: "answer", afterMs: 100, status: 404 }
          : { kind: "end", afterMs: 50 },
    });
    const sendPopular = async () => {
      const [{ status }] = await Promise.all([
        fleet.call("popular"),
        fleet.clock.advance(1_000),
      ]);
      return status;
    };
    assert.equal(await sendPopular(), 404);
    for (const body of ["one", "two"]) {
      Array.from({ length: 20 }, () => void fleet.call("popular"));
      void fleet.call(body);
      await fleet.clock.advance(60);
    }
    await fleet.clock.advance(2_000);
    const crashingSends = fleet.arrivals.filter(({ body }) =>
      body !== "popular"
    );
    assert.ok(new Set(crashingSends.map(({ server }) => server)).size >= 3);
    assert.equal(await sendPopular(), 404);
  });
});

describe("a call that nobody has answered yet", () => {
  it("is served soon though it was in flight wherever another call crashed a server", async () => {
    const fleet = await startVirtualFleet({
      regions: {
        north: { instances: 3, servers: 2 },
        south: { instances: 3, servers: 2 },
      },
      table: createRouteTable([createRoute("/a/")]),
      decide: ({ body }) =>
        body === CRASHING_BODY
          ? { kind: "end", afterMs: 70 }
          : { kind: "answer", afterMs: 120 },
      replacedAfterMs: 3_000,
    });
    const statuses: { readonly atMs: number; readonly status: number }[] = [];
    const sendPopular = () => {
      const atMs = fleet.clock.nowMs();
      void fleet.call("popular")
        .then(({ status }) => statuses.push({ atMs, status }));
    };
    Array.from({ length: 40 }, sendPopular);
    Array.from({ length: 12 }, () => void fleet.call(CRASHING_BODY));
    for (let round = 0; round < 200; round++) {
      sendPopular();
      if (round % 8 === 0) void fleet.call(CRASHING_BODY);
      await fleet.clock.advance(100);
    }
    await fleet.clock.advance(3_000);
    const endMs = fleet.clock.nowMs();
    const late = statuses.filter(({ atMs }) => atMs > endMs - 8_000);
    const served = late.filter(({ status }) => status === 200);
    assert.ok(late.length > 0);
    assert.ok(
      served.length >= 0.95 * late.length,
      `${served.length} of ${late.length} served`,
    );
    assert.ok(countLateSends(fleet) <= ALLOWED_SENDS);
  });
});

describe("a call that crashes servers", () => {
  it("is no longer sent to servers once it has crashed three, whichever instance it reaches", async () => {
    const fleet = await startFleet();
    await sendCalls(fleet, { durationMs: 30_000, intervalMs: 150 });
    assert.ok(countLateSends(fleet) <= ALLOWED_SENDS);
  });

  it("is sent to no more servers under one id than its route allows", async () => {
    const fleet = await startFleet();
    await sendCalls(fleet, { durationMs: 10_000, intervalMs: 150 });
    const sends = listCrashingSends(fleet);
    const listServersOf = (callId: string) =>
      new Set(
        sends.filter((send) => send.callId === callId)
          .map(({ server }) => server),
      );
    sends.forEach(({ callId }) => assert.ok(listServersOf(callId).size <= 2));
  });

  it("is quarantined by all instances though a tenth of the reports get lost", async () => {
    const fleet = await startFleet(0.1);
    await sendCalls(fleet, { durationMs: 30_000, intervalMs: 400 });
    assert.ok(countLateSends(fleet) <= ALLOWED_SENDS);
  });

  it("is quarantined by an instance that starts later", async () => {
    const fleet = await startFleet();
    await sendCalls(fleet, { durationMs: 10_000, intervalMs: 150 });
    fleet.start("west-0");
    await fleet.clock.advance(1_500);
    const before = listCrashingSends(fleet).length;
    await Promise.all([
      fleet.call(CRASHING_BODY, "west-0"),
      fleet.clock.advance(2_000),
    ]);
    assert.equal(listCrashingSends(fleet).length, before);
  });

  it("is refused with a 503 and the time after which to retry", async () => {
    const fleet = await startFleet();
    await sendCalls(fleet, { durationMs: 10_000, intervalMs: 150 });
    const [answer] = await Promise.all([
      fleet.call(CRASHING_BODY),
      fleet.clock.advance(2_000),
    ]);
    assert.equal(answer.status, 503);
    assert.ok(answer.headers.includes("Retry-After"));
  });

  it("is cancelled at a server that has it when it is quarantined, and the server keeps running", async () => {
    const fleet = await startFleet();
    void fleet.call(CRASHING_BODY, "west-0");
    await fleet.clock.advance(100);
    void fleet.call(CRASHING_BODY, "north-0");
    void fleet.call(CRASHING_BODY, "north-1");
    await fleet.clock.advance(4_000);
    const unfinished = listCrashingSends(fleet).find(({ server }) =>
      server.startsWith("west")
    )!;
    assert.ok(
      new Set(listCrashingSends(fleet).map(({ server }) => server)).size > 3,
    );
    void fleet.call("other", "west-0");
    await fleet.clock.advance(1_000);
    const { server } = fleet.arrivals.at(-1)!;
    assert.equal(server, unfinished.server);
  });

  it("makes no other call fail once it is quarantined", async () => {
    const fleet = await startFleet();
    await sendCalls(fleet, { durationMs: 8_000, intervalMs: 150 });
    await fleet.clock.advance(QUARANTINED_AFTER_MS);
    const statuses = await sendCalls(fleet, {
      durationMs: 10_000,
      intervalMs: 150,
    });
    assert.deepEqual([...new Set(statuses)], [200]);
  });
});
