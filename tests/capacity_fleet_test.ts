// Guards against a small instance that gets as many callers and forwarded calls as a large one, and against calls lost when instances die or report another capacity.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toRegionId } from "../ids/mod.ts";
import { createRoute, createRouteTable, ROUTE_HOST } from "./route_fixture.ts";
import type { VirtualFleet } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

const SOUTH = [1.35, 0.675, 0.27, 0.27];
const CALLERS = Array.from({ length: 300 }, (_, at) => `10.0.7.${at}`);
/** Time within which a dead instance gets no calls and is named to nobody, in milliseconds. */
const DEAD_MS = 2_600;

/** Starts two regions, of which only the southern one has servers. */
function startFleet() {
  const south = SOUTH.map((cores, at) => [`south-${at}`, { cores }] as const);
  return startVirtualFleet({
    regions: {
      north: { instances: 1, servers: 0 },
      south: { instances: SOUTH.length, servers: 3 },
    },
    table: createRouteTable([createRoute("/a/")], { maxConnections: 1_000 }),
    decide: () => ({ kind: "answer", afterMs: 20 }),
    limits: { "north-0": { cores: 0.675 }, ...Object.fromEntries(south) },
  });
}

/** Sends calls to the north, and returns how many were served, and by way of each instance. */
async function forwardCalls(fleet: VirtualFleet, count: number) {
  const first = fleet.arrivals.length;
  let served = 0;
  for (let at = 0; at < count; at++) {
    void fleet.call(`body ${fleet.clock.nowMs()}`, "north-0")
      .then(({ status }) => served += status === 200 ? 1 : 0);
    await fleet.clock.advance(10);
  }
  await fleet.clock.advance(2_000);
  const arrivals = fleet.arrivals.slice(first);
  const by = SOUTH.map((_, at) =>
    arrivals.filter(({ from }) => from === `south-${at}`).length
  );
  return { served, by };
}

/** Returns to how many callers each instance of the south is named, and the shortest answer. */
function countNamed(fleet: VirtualFleet) {
  const answers = CALLERS.map((caller) =>
    fleet.gateways.get("north-0")!
      .pickEntries(toRegionId("south"), ROUTE_HOST, caller).entries
      .map(({ id }): string => id)
  );
  const named = SOUTH.map((_, at) =>
    answers.filter((ids) => ids.includes(`south-${at}`)).length
  );
  return { named, fewest: Math.min(...answers.map(({ length }) => length)) };
}

describe("instances of different capacities", () => {
  it("are forwarded calls in proportion, also after one reports less while calls run", async () => {
    const fleet = await startFleet();
    const before = await forwardCalls(fleet, 600);
    const total = SOUTH.reduce((sum, cores) => sum + cores, 0);
    SOUTH.forEach((cores, at) =>
      assert.ok(Math.abs(before.by[at]! / 600 - cores / total) < 0.06)
    );
    const running = forwardCalls(fleet, 200);
    fleet.gateways.get("south-0")!.fleet
      .setCapacity({ ratedCores: 1.35, currentCores: 0.3375 });
    const { served } = await running;
    const after = await forwardCalls(fleet, 400);
    assert.deepEqual([before.served, served, after.served], [600, 200, 400]);
    assert.ok(after.by[0]! < 0.6 * after.by[1]!, `${after.by}`);
  });

  it("that die are no longer named, and others are, also when all large ones die", async () => {
    const fleet = await startFleet();
    const running = forwardCalls(fleet, 300);
    fleet.clock.schedule(500, () => fleet.crash("south-0"));
    const { served } = await running;
    assert.ok(served >= 290, `${served}`);
    const { fewest, named } = countNamed(fleet);
    assert.deepEqual([fewest, named[0]], [3, 0]);
    fleet.crash("south-1");
    await fleet.clock.advance(DEAD_MS);
    assert.equal(countNamed(fleet).fewest, 2);
    assert.equal((await forwardCalls(fleet, 200)).served, 200);
    fleet.start("south-0");
    await fleet.clock.advance(2_000);
    assert.equal(countNamed(fleet).named[0], CALLERS.length);
  });
});
