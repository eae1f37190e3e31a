import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import { type Arrival, VirtualFleet } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

const RUN_MS = 20;
/** How long a sound server is silent, in milliseconds. */
const SILENT_MS = 1_200;
const SILENT_SERVER = "north-server-0";
const CALL_INTERVAL_MS = 10;

/** Starts regions of one server each; that of the north is silent from `silentFromMs` on. */
async function startFleet() {
  const silence = { fromMs: Infinity };
  const fleet = await startVirtualFleet({
    regions: {
      north: { instances: 3, servers: 1 },
      south: { instances: 3, servers: 1 },
    },
    table: createRouteTable([
      createRoute("/a/"),
      createRoute("/b/", undefined, { routeClass: "non-idempotent" }),
      createRoute("/north/", ["north"], { routeClass: "non-idempotent" }),
    ], { maxConnections: 1_000 }),
    decide: ({ atMs, server }: Arrival) => {
      const endMs = silence.fromMs + SILENT_MS;
      const dueMs = atMs + RUN_MS;
      const isSilent = server === SILENT_SERVER && dueMs >= silence.fromMs &&
        dueMs < endMs;
      return { kind: "answer", afterMs: (isSilent ? endMs : dueMs) - atMs };
    },
  });
  return { fleet, silence };
}

/** Sends calls to the instances in the north. Returns their statuses. */
async function sendCalls(
  fleet: VirtualFleet,
  durationMs: number,
  target: string,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  let sent = 0;
  for (let atMs = 0; atMs < durationMs; atMs += CALL_INTERVAL_MS) {
    const instance = `north-${sent % 3}`;
    sent++;
    void fleet.call(`call ${fleet.clock.nowMs()}`, instance, target)
      .then(({ status }) => statuses.push(status));
    await fleet.clock.advance(CALL_INTERVAL_MS);
  }
  await fleet.clock.advance(2_500);
  assert.equal(statuses.length, sent, "every call has ended");
  return statuses;
}

function countArrivals({ arrivals }: VirtualFleet, fromMs: number): number {
  return arrivals.filter(({ atMs, server }) =>
    atMs >= fromMs && server === SILENT_SERVER
  ).length;
}

describe("a sound server that is silent for a second", () => {
  ["/a/x", "/b/x", "/north/x"].forEach((target) => {
    it(`answers the calls that it has (${target}), and all are served`, async () => {
      const { fleet, silence } = await startFleet();
      await sendCalls(fleet, 1_000, target);
      silence.fromMs = fleet.clock.nowMs() + 500;
      const statuses = await sendCalls(fleet, 3_000, target);
      assert.deepEqual([...new Set(statuses)], [200]);
    });
  });

  it("gets its calls again, and no instance reports it as unreachable", async () => {
    const { fleet, silence } = await startFleet();
    await sendCalls(fleet, 1_000, "/a/x");
    silence.fromMs = fleet.clock.nowMs() + 500;
    await sendCalls(fleet, 3_000, "/a/x");
    const fromMs = fleet.clock.nowMs();
    await sendCalls(fleet, 1_000, "/a/x");
    assert.ok(countArrivals(fleet, fromMs) >= 90);
    fleet.gateways.forEach(({ fleet: { self } }) =>
      assert.equal(self.unreachableServices, undefined)
    );
  });
});
