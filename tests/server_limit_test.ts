import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import {
  type Arrival,
  type CallOutcome,
  type ServerAction,
  VirtualFleet,
  type VirtualFleetParts,
} from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

/**
 * In any window of 4 s a server may get its advertised limit times the overshoot, plus the
 * slack, as users measure it.
 */
const WINDOW_MS = 4_000;
const OVERSHOOT = 1.5;
const SLACK_CALLS = 5;
/** Time after which an instance applies a limit that a server advertises, in milliseconds. */
const APPLIED_AFTER_MS = 500;
const LIMITED_SERVER = "north-server-0";
/** The limited server answers faster, so that it is preferred. */
const decide = ({ server }: Arrival): ServerAction => ({
  kind: "answer",
  afterMs: server === LIMITED_SERVER ? 20 : 40,
});

interface LimitedFleet {
  readonly fleet: VirtualFleet;
  /** Limit that the server advertises, in calls per second; `undefined` if it advertises none. */
  perSecond: number | undefined;
}

async function startFleet(
  parts: Partial<VirtualFleetParts>,
): Promise<LimitedFleet> {
  const fleet = await startVirtualFleet({
    regions: { north: { instances: 3, servers: 2 } },
    table: createRouteTable([createRoute("/a/")]),
    decide,
    answerHeaders: (server) =>
      server === LIMITED_SERVER && limited.perSecond !== undefined
        ? ["X-Call-Limit", String(limited.perSecond)]
        : [],
    ...parts,
  });
  const limited: LimitedFleet = { fleet, perSecond: undefined };
  return limited;
}

/** Sends a call every 10 ms, and returns those that have ended by then with their answers. */
async function sendCalls(
  fleet: VirtualFleet,
  durationMs: number,
): Promise<readonly CallOutcome[]> {
  const ended: CallOutcome[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += 10) {
    void fleet.call(`call ${fleet.clock.nowMs()}`)
      .then((end) => ended.push(end));
    await fleet.clock.advance(10);
  }
  return ended;
}

function listLimitedArrivals(
  { arrivals }: VirtualFleet,
  fromMs: number,
): readonly Arrival[] {
  return arrivals.filter(({ atMs, server }) =>
    server === LIMITED_SERVER && atMs >= fromMs
  );
}

/** Returns the maximum number of calls that the limited server got in any window. */
function countMaxCalls(fleet: VirtualFleet, fromMs: number): number {
  const atMs = listLimitedArrivals(fleet, fromMs).map((arrival) =>
    arrival.atMs
  );
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

function countServed(ended: readonly CallOutcome[]): number {
  return ended.filter(({ status }) => status === 200).length;
}

describe("a server that advertises a limit of calls per second", () => {
  it("gets no more than its limit from all instances together, and others serve the rest", async () => {
    const limited = await startFleet({});
    const { fleet } = limited;
    limited.perSecond = 2.6;
    await sendCalls(fleet, APPLIED_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    const ended = await sendCalls(fleet, 12_000);
    assert.ok(countMaxCalls(fleet, fromMs) <= countAllowed(2.6));
    assert.ok(listLimitedArrivals(fleet, fromMs).length >= 0.7 * 2.6 * 12);
    assert.ok(countServed(ended) >= 0.99 * ended.length);
  });

  it("gets no more than its limit when that is fewer calls per second than there are instances", async () => {
    const limited = await startFleet({
      regions: { north: { instances: 12, servers: 2 } },
    });
    const { fleet } = limited;
    limited.perSecond = 0.8;
    await sendCalls(fleet, APPLIED_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    await sendCalls(fleet, 12_000);
    assert.ok(countMaxCalls(fleet, fromMs) <= countAllowed(0.8));
    assert.ok(listLimitedArrivals(fleet, fromMs).length >= 0.7 * 0.8 * 12);
  });

  it("gets fewer calls at once when its limit falls", async () => {
    const limited = await startFleet({});
    const { fleet } = limited;
    limited.perSecond = 12;
    await sendCalls(fleet, 6_000);
    limited.perSecond = 1.2;
    await sendCalls(fleet, APPLIED_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    await sendCalls(fleet, 8_000);
    assert.ok(countMaxCalls(fleet, fromMs) <= countAllowed(1.2));
  });

  it("gets its share of calls again once its answers advertise no limit", async () => {
    const limited = await startFleet({});
    const { fleet } = limited;
    limited.perSecond = 0.5;
    await sendCalls(fleet, 6_000);
    limited.perSecond = undefined;
    await sendCalls(fleet, 4_000);
    const fromMs = fleet.clock.nowMs();
    await sendCalls(fleet, 2_000);
    assert.ok(listLimitedArrivals(fleet, fromMs).length >= 50);
  });

  it("gets no more than its limit while instances restart", async () => {
    const limited = await startFleet({});
    const { fleet } = limited;
    limited.perSecond = 2.6;
    await sendCalls(fleet, APPLIED_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    for (const address of ["north-0", "north-1", "north-2", "north-0"]) {
      await sendCalls(fleet, 2_000);
      fleet.start(address);
    }
    await sendCalls(fleet, 4_000);
    assert.ok(countMaxCalls(fleet, fromMs) <= countAllowed(2.6));
  });

  it("gets no more than its limit while instances receive no reports from each other", async () => {
    let isCut = false;
    const limited = await startFleet({ isCut: () => isCut });
    const { fleet } = limited;
    isCut = true;
    limited.perSecond = 2.6;
    await sendCalls(fleet, APPLIED_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    await sendCalls(fleet, 12_000);
    assert.ok(countMaxCalls(fleet, fromMs) <= countAllowed(2.6));
  });

  it("has calls above its limit sent to another region", async () => {
    const limited = await startFleet({
      regions: {
        north: { instances: 2, servers: 1 },
        south: { instances: 2, servers: 1 },
      },
    });
    const { fleet } = limited;
    limited.perSecond = 2;
    await sendCalls(fleet, APPLIED_AFTER_MS);
    const fromMs = fleet.clock.nowMs();
    const ended = await sendCalls(fleet, 8_000);
    assert.ok(countMaxCalls(fleet, fromMs) <= countAllowed(2));
    assert.ok(countServed(ended) >= 0.99 * ended.length);
  });

  it("has calls above its limit refused at once when there is no other server, with the time after which to retry", async () => {
    const limited = await startFleet({
      regions: { north: { instances: 1, servers: 1 } },
    });
    const { fleet } = limited;
    limited.perSecond = 0.5;
    await sendCalls(fleet, 3_000);
    const sentMs = fleet.clock.nowMs();
    const results = await Promise.all([
      ...["first", "second"].map((body) =>
        fleet.call(body).then((end) => ({
          ...end,
          tookMs: fleet.clock.nowMs() - sentMs,
        }))
      ),
      fleet.clock.advance(1_000).then(() => undefined),
    ]);
    const refused = results.find((end) =>
      end !== undefined && end.status !== 200
    );
    assert.equal(refused?.status, 503);
    assert.equal(refused?.tookMs, 0);
    const headerIndex = refused!.headers.indexOf("Retry-After");
    assert.ok(Number(refused!.headers[headerIndex + 1]) > 0.2);
  });
});
