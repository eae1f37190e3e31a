import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import {
  type Arrival,
  type Deed,
  type EndedCall,
  VirtualFleet,
  type VirtualFleetParts,
} from "./virtual_fleet.ts";

/** What a server that names a limit bears in any span of 4 s, as users measure it. */
const WINDOW_MS = 4_000;
const OVERSHOOT = 1.5;
const SLACK_CALLS = 5;
/** Time after which an instance heeds what a server says, in milliseconds. */
const HEARD_AFTER_MS = 500;
const LIMITED = "north-server-0";
/** The limited server answers first, so that it is preferred. */
const decide = ({ server }: Arrival): Deed => ({
  kind: "answer",
  afterMs: server === LIMITED ? 20 : 40,
});

const FLEETS: VirtualFleet[] = [];
afterEach(() => FLEETS.splice(0).forEach((fleet) => fleet.stop()));

interface Limited {
  readonly fleet: VirtualFleet;
  /** Calls a second that the server names; `undefined`: none. */
  perSecond: number | undefined;
}

async function start(
  parts: Partial<VirtualFleetParts>,
): Promise<Limited> {
  const fleet = new VirtualFleet({
    regions: { north: { instances: 3, servers: 2 } },
    table: createRouteTable([createRoute("/a/")]),
    decide,
    answerHeaders: (server) =>
      server === LIMITED && limited.perSecond !== undefined
        ? ["X-Call-Limit", String(limited.perSecond)]
        : [],
    ...parts,
  });
  const limited: Limited = { fleet, perSecond: undefined };
  FLEETS.push(fleet);
  await fleet.clock.advance(2_000);
  return limited;
}

/** Sends a call every 10 ms for a while, and returns how they ended. */
async function play(
  fleet: VirtualFleet,
  forMs: number,
): Promise<readonly EndedCall[]> {
  const ended: EndedCall[] = [];
  for (let atMs = 0; atMs < forMs; atMs += 10) {
    void fleet.call(`call ${fleet.clock.nowMs()}`)
      .then((end) => ended.push(end));
    await fleet.clock.advance(10);
  }
  return ended;
}

function listLimited(
  { arrivals }: VirtualFleet,
  fromMs: number,
): readonly Arrival[] {
  return arrivals.filter(({ atMs, server }) =>
    server === LIMITED && atMs >= fromMs
  );
}

/** Returns the most calls that the server got in any span. */
function countMost(fleet: VirtualFleet, fromMs: number): number {
  const atMs = listLimited(fleet, fromMs).map((arrival) => arrival.atMs);
  return Math.max(
    0,
    ...atMs.map((first) =>
      atMs.filter((each) => each >= first && each < first + WINDOW_MS).length
    ),
  );
}

function countAllowed(perSecond: number): number {
  return OVERSHOOT * perSecond * WINDOW_MS / 1_000 + SLACK_CALLS;
}

function countServed(ended: readonly EndedCall[]): number {
  return ended.filter(({ status }) => status === 200).length;
}

describe("a server that names a limit of calls a second", () => {
  it("gets no more from all instances together, and others serve the rest", async () => {
    const limited = await start({});
    const { fleet } = limited;
    limited.perSecond = 2.6;
    await play(fleet, HEARD_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    const ended = await play(fleet, 12_000);
    assert.ok(countMost(fleet, fromMs) <= countAllowed(2.6));
    assert.ok(listLimited(fleet, fromMs).length >= 0.7 * 2.6 * 12);
    assert.ok(countServed(ended) >= 0.99 * ended.length);
  });

  it("gets no more where it takes fewer a second than there are instances", async () => {
    const limited = await start({
      regions: { north: { instances: 12, servers: 2 } },
    });
    const { fleet } = limited;
    limited.perSecond = 0.8;
    await play(fleet, HEARD_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    await play(fleet, 12_000);
    assert.ok(countMost(fleet, fromMs) <= countAllowed(0.8));
    assert.ok(listLimited(fleet, fromMs).length >= 0.7 * 0.8 * 12);
  });

  it("gets less at once when its limit falls", async () => {
    const limited = await start({});
    const { fleet } = limited;
    limited.perSecond = 12;
    await play(fleet, 6_000);
    limited.perSecond = 1.2;
    await play(fleet, HEARD_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    await play(fleet, 8_000);
    assert.ok(countMost(fleet, fromMs) <= countAllowed(1.2));
  });

  it("gets its part again once its answers name no limit", async () => {
    const limited = await start({});
    const { fleet } = limited;
    limited.perSecond = 0.5;
    await play(fleet, 6_000);
    limited.perSecond = undefined;
    await play(fleet, 4_000);
    const fromMs = fleet.clock.nowMs();
    await play(fleet, 2_000);
    assert.ok(listLimited(fleet, fromMs).length >= 50);
  });

  it("gets no more as instances start again", async () => {
    const limited = await start({});
    const { fleet } = limited;
    limited.perSecond = 2.6;
    await play(fleet, HEARD_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    for (const address of ["north-0", "north-1", "north-2", "north-0"]) {
      await play(fleet, 2_000);
      fleet.start(address);
    }
    await play(fleet, 4_000);
    assert.ok(countMost(fleet, fromMs) <= countAllowed(2.6));
  });

  it("gets no more while instances do not hear each other", async () => {
    let isCut = false;
    const limited = await start({ isCut: () => isCut });
    const { fleet } = limited;
    isCut = true;
    limited.perSecond = 2.6;
    await play(fleet, HEARD_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    await play(fleet, 12_000);
    assert.ok(countMost(fleet, fromMs) <= countAllowed(2.6));
  });

  it("sends what is over it to another region", async () => {
    const limited = await start({
      regions: {
        north: { instances: 2, servers: 1 },
        south: { instances: 2, servers: 1 },
      },
    });
    const { fleet } = limited;
    limited.perSecond = 2;
    await play(fleet, HEARD_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    const ended = await play(fleet, 8_000);
    assert.ok(countMost(fleet, fromMs) <= countAllowed(2));
    assert.ok(countServed(ended) >= 0.99 * ended.length);
  });

  it("has what is over it refused at once where no other server is, with a time to come back", async () => {
    const limited = await start({
      regions: { north: { instances: 1, servers: 1 } },
    });
    const { fleet } = limited;
    limited.perSecond = 0.5;
    await play(fleet, 3_000);
    const sentMs = fleet.clock.nowMs();
    const ends = await Promise.all([
      ...["first", "second"].map((body) =>
        fleet.call(body).then((end) => ({
          ...end,
          tookMs: fleet.clock.nowMs() - sentMs,
        }))
      ),
      fleet.clock.advance(1_000).then(() => undefined),
    ]);
    const refused = ends.find((end) => end !== undefined && end.status !== 200);
    assert.equal(refused?.status, 503);
    assert.equal(refused?.tookMs, 0);
    const at = refused!.headers.indexOf("Retry-After");
    assert.ok(Number(refused!.headers[at + 1]) > 0.2);
  });
});
