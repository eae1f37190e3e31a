// Guards against ignoring what servers advertise in answers: those that left, or rejected calls and so had no load, kept getting calls.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import {
  type CallOutcome,
  type ServerAction,
  VirtualFleet,
  type VirtualFleetParts,
} from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

const COOLDOWN_MS = 3_000;
/** Time after which what a server advertises must be applied, as users measure it, in milliseconds. */
const APPLIED_AFTER_MS = 500;
/** Calls that may reach a server in its cool-down after that time. */
const ALLOWED_CALLS = 2;

const ANSWER: ServerAction = { kind: "answer", afterMs: 40 };
const REJECTION: ServerAction = {
  kind: "reject",
  headers: ["Retry-After", String(COOLDOWN_MS / 1_000)],
};

async function startFleet(
  parts: Partial<VirtualFleetParts>,
  servers = 3,
): Promise<VirtualFleet> {
  const fleet = await startVirtualFleet({
    regions: { north: { instances: 2, servers } },
    table: createRouteTable([createRoute("/a/")]),
    decide: () => ANSWER,
    ...parts,
  });
  return fleet;
}

/** Sends a call every 20 ms, waits a second, and returns those that have ended with their answers. */
async function sendCalls(
  fleet: VirtualFleet,
  durationMs: number,
): Promise<readonly CallOutcome[]> {
  const ended: CallOutcome[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += 20) {
    void fleet.call(`call ${fleet.clock.nowMs()}`)
      .then((end) => ended.push(end));
    await fleet.clock.advance(20);
  }
  await fleet.clock.advance(1_000);
  return ended;
}

describe("what a server advertises in its answers", () => {
  describe("when it rejects calls", () => {
    it("makes other servers preferred, though it has no load", async () => {
      const fleet = await startFleet({
        decide: ({ server }) =>
          server === "north-server-2"
            ? ANSWER
            : { kind: "reject", headers: [] },
      });
      const ended = await sendCalls(fleet, 2_500);
      const served = ended.filter(({ status }) => status === 200);
      assert.ok(served.length >= 0.95 * ended.length);
    });
  });

  describe("when it is leaving", () => {
    it("keeps new calls from it, though the store does not report it", async () => {
      let leavingSinceMs = Number.POSITIVE_INFINITY;
      const fleet = await startFleet({
        regions: {
          north: { instances: 2, servers: 1 },
          south: { instances: 2, servers: 1 },
        },
        answerHeaders: (server) =>
          server === "north-server-0" && fleet.clock.nowMs() >= leavingSinceMs
            ? ["X-Leaving", "1"]
            : [],
      });
      await sendCalls(fleet, 1_000);
      assert.equal(new Set(fleet.arrivals.map(({ server }) => server)).size, 2);
      leavingSinceMs = fleet.clock.nowMs();
      const ended = await sendCalls(fleet, 6_000);
      const late = fleet.arrivals.filter(({ atMs, server }) =>
        server === "north-server-0" && atMs > leavingSinceMs + APPLIED_AFTER_MS
      );
      assert.deepEqual(late, []);
      assert.ok(ended.every(({ status }) => status === 200));
    });
  });

  describe("when it is cold", () => {
    it("is applied from any answer, not only from rejections", async () => {
      const perSecond = 2;
      const fleet = await startFleet({
        table: createRouteTable([createRoute("/a/")], {
          warmUpCallsPerSecond: perSecond,
        }),
        // The cold server answers faster, so that it is preferred.
        decide: ({ server }) => ({
          kind: "answer",
          afterMs: server === "north-server-0" ? 20 : 40,
        }),
        answerHeaders: (server) =>
          server === "north-server-0" ? ["X-Cold-Ms", "60000"] : [],
      });
      await sendCalls(fleet, 500);
      const fromMs = fleet.clock.nowMs();
      await sendCalls(fleet, 4_000);
      const counts = [0, 1, 2, 3].map((second) =>
        fleet.arrivals.filter(({ atMs, server }) =>
          server === "north-server-0" &&
          Math.floor((atMs - fromMs) / 1_000) === second
        ).length
      );
      // The fleet's bounds for cold servers allow so many calls per second.
      assert.ok(Math.max(...counts) <= 1.5 * perSecond + 3);
    });
  });

  describe("when it asks for a cool-down", () => {
    it("keeps calls from it for that time, and others serve them", async () => {
      const rejections = new Map<string, number>();
      const fleet = await startFleet({
        decide: ({ atMs, from, server }) => {
          if (server === "north-server-2") return ANSWER;
          const firstMs = rejections.get(`${from} ${server}`);
          if (firstMs === undefined) rejections.set(`${from} ${server}`, atMs);
          return REJECTION;
        },
      });
      const ended = await sendCalls(fleet, 2_500);
      assert.equal(rejections.size, 4);
      rejections.forEach((firstMs, key) => {
        const duringCooldown = fleet.arrivals.filter(({ atMs, from, server }) =>
          `${from} ${server}` === key && atMs > firstMs + APPLIED_AFTER_MS &&
          atMs < firstMs + COOLDOWN_MS
        );
        assert.ok(
          duringCooldown.length <= ALLOWED_CALLS,
          `${key}: ${duringCooldown.length}`,
        );
      });
      const served = ended.filter(({ status }) => status === 200);
      assert.ok(served.length >= 0.95 * ended.length);
    });

    it("lets it get calls again afterwards", async () => {
      const fleet = await startFleet({
        decide: ({ atMs }) =>
          atMs < fleet.clock.nowMs() + 1 && fleet.arrivals.length === 1
            ? REJECTION
            : ANSWER,
      }, 1);
      await sendCalls(fleet, 4_500);
      const [first] = fleet.arrivals;
      const next = fleet.arrivals.find(({ atMs, from }) =>
        from === first!.from && atMs > first!.atMs
      );
      assert.ok(next!.atMs >= first!.atMs + COOLDOWN_MS);
      assert.ok(next!.atMs < first!.atMs + COOLDOWN_MS + 500);
    });

    it("lets a call wait for a cool-down that is nearly over", async () => {
      const fleet = await startFleet({
        decide: () =>
          fleet.arrivals.length === 1
            ? { kind: "reject", headers: ["Retry-After", "0.2"] }
            : ANSWER,
      }, 1);
      await Promise.all([
        fleet.call("asks for rest", "north-0"),
        fleet.clock.advance(10),
      ]);
      const [end] = await Promise.all([
        fleet.call("waits", "north-0"),
        fleet.clock.advance(1_000),
      ]);
      assert.equal(end.status, 200);
    });

    it("refuses a call at once when all servers are cooling down, with the time until the first is available", async () => {
      const fleet = await startFleet({ decide: () => REJECTION }, 1);
      await Promise.all([
        fleet.call("first", "north-0"),
        fleet.clock.advance(500),
      ]);
      const sentMs = fleet.clock.nowMs();
      let endedMs = 0;
      const [end] = await Promise.all([
        fleet.call("second", "north-0").then((answer) => {
          endedMs = fleet.clock.nowMs();
          return answer;
        }),
        fleet.clock.advance(2_000),
      ]);
      assert.equal(end.status, 503);
      assert.equal(endedMs, sentMs);
      const headerIndex = end.headers.indexOf("Retry-After");
      const retryAfterMs = 1_000 * Number(end.headers[headerIndex + 1]);
      assert.ok(retryAfterMs > 2_000 && retryAfterMs <= COOLDOWN_MS);
    });
  });
});
