// Guards against a small instance that gets as many callers and forwarded calls as a large one, and against calls lost when instances die or report another capacity.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createRoute, createRouteTable, ROUTE_HOST } from "./route_fixture.ts";
import type { VirtualFleet } from "./virtual_fleet.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

const LIMITS = {
  "north-0": { cores: 0.675 },
  "north-1": { cores: 0.675 },
  "south-0": { cores: 1.35 },
  "south-1": { cores: 0.675 },
  "south-2": { cores: 0.27 },
  "south-3": { cores: 0.27 },
};
const SOUTH = ["south-0", "south-1", "south-2", "south-3"];
const CALLERS = Array.from({ length: 300 }, (_, at) => `10.0.7.${at}`);
const CALL_INTERVAL_MS = 10;
/** Time within which a dead instance of another region gets no calls and is named to nobody, in milliseconds. */
const DEAD_MS = 2_600;

/** Starts two regions, of which only the southern one has servers. */
function startFleet(limits: Partial<typeof LIMITS> = LIMITS) {
  return startVirtualFleet({
    regions: {
      north: { instances: 2, servers: 0 },
      south: { instances: 4, servers: 3 },
    },
    table: createRouteTable([createRoute("/a/")], { maxConnections: 1_000 }),
    decide: () => ({ kind: "answer", afterMs: 20 }),
    limits,
  });
}

/** Sends calls to the north, and returns how many were served and by way of which instance. */
async function forwardCalls(fleet: VirtualFleet, count: number) {
  const firstArrival = fleet.arrivals.length;
  let served = 0;
  for (let at = 0; at < count; at++) {
    void fleet.call(`body ${fleet.clock.nowMs()}`, `north-${at % 2}`)
      .then(({ status }) => {
        if (status === 200) served++;
      });
    await fleet.clock.advance(CALL_INTERVAL_MS);
  }
  await fleet.clock.advance(2_000);
  const arrivals = fleet.arrivals.slice(firstArrival);
  const by = Object.fromEntries(SOUTH.map((address) => [
    address,
    arrivals.filter(({ from }) => from === address).length,
  ]));
  return { served, by };
}

/** Returns for how many callers the directory names each instance of the south. */
function countNamed(fleet: VirtualFleet, asked = "north-0") {
  const gateway = fleet.gateways.get(asked)!;
  const answers = CALLERS.map((caller) =>
    gateway.pickEntries(toRegionId("south"), ROUTE_HOST, caller).entries
      .map(({ id }): string => id)
  );
  const named = Object.fromEntries(SOUTH.map((address) => [
    address,
    answers.filter((entries) => entries.includes(address)).length,
  ]));
  return { named, fewest: Math.min(...answers.map(({ length }) => length)) };
}

describe("instances of different capacities", () => {
  it("are forwarded calls of another region in proportion to capacity", async () => {
    const { by, served } = await forwardCalls(await startFleet(), 600);
    assert.equal(served, 600);
    const total = 1.35 + 0.675 + 0.27 + 0.27;
    SOUTH.forEach((address) => {
      const { cores } = LIMITS[address as keyof typeof LIMITS];
      assert.ok(Math.abs(by[address]! / 600 - cores / total) < 0.06, address);
    });
  });

  it("are chosen as before if the settings name no limits", async () => {
    const fleet = await startFleet({});
    const { by } = await forwardCalls(fleet, 400);
    SOUTH.forEach((address) =>
      assert.ok(Math.abs(by[address]! / 400 - 0.25) < 0.07, address)
    );
    assert.deepEqual(countNamed(fleet).fewest, 4);
  });

  it("are all named by three or more, in the same way by each instance", async () => {
    const fleet = await startFleet();
    const { fewest, named } = countNamed(fleet);
    assert.equal(fewest, 3);
    assert.equal(named["south-0"], CALLERS.length);
    assert.ok(named["south-2"]! < 0.8 * CALLERS.length);
    assert.deepEqual(countNamed(fleet, "south-3"), { fewest, named });
  });

  it("lose no call when one reports less while calls run, and it gets fewer", async () => {
    const fleet = await startFleet();
    const running = forwardCalls(fleet, 200);
    fleet.gateways.get("south-0")!.fleet.setCapacity({
      ratedCores: 1.35,
      currentCores: 0.3375,
    });
    assert.equal((await running).served, 200);
    const { by, served } = await forwardCalls(fleet, 400);
    assert.equal(served, 400);
    assert.ok(by["south-0"]! < 0.6 * by["south-1"]!, JSON.stringify(by));
  });

  it("that die are no longer named, and others are, also when all large ones die at once", async () => {
    const fleet = await startFleet();
    fleet.crash("south-0");
    await fleet.clock.advance(DEAD_MS);
    const { fewest, named } = countNamed(fleet);
    assert.deepEqual([fewest, named["south-0"]], [3, 0]);
    assert.equal((await forwardCalls(fleet, 100)).served, 100);
    fleet.crash("south-1");
    await fleet.clock.advance(DEAD_MS);
    assert.equal(countNamed(fleet).fewest, 2);
    const { by, served } = await forwardCalls(fleet, 200);
    assert.equal(served, 200);
    assert.ok(by["south-2"]! > 60 && by["south-3"]! > 60, JSON.stringify(by));
    fleet.start("south-0");
    await fleet.clock.advance(2_000);
    assert.equal(countNamed(fleet).named["south-0"], CALLERS.length);
  });

  it("lose few calls while a large one dies among them, as those are sent elsewhere", async () => {
    const fleet = await startFleet();
    const running = forwardCalls(fleet, 300);
    fleet.clock.schedule(500, () => fleet.crash("south-0"));
    const { served } = await running;
    assert.ok(served >= 290, `${served}`);
  });
});

describe("an instance whose link is behind", () => {
  it("reports a smaller capacity, and its own again once the link keeps up", async () => {
    const clock = new VirtualClock();
    const stopping = new AbortController();
    let linkBytes = 0;
    let bytesPerSecond = 820_000;
    const gateway = createVirtualGateway("north-0", {
      clock,
      instanceLimits: { cores: 0.243, linkMbps: 7 },
      readLinkBytes: () => linkBytes,
    });
    gateway.start(stopping.signal);
    const run = async (seconds: number) => {
      for (let at = 0; at < 10 * seconds; at++) {
        linkBytes += bytesPerSecond / 10;
        await clock.advance(100);
      }
      return gateway.fleet.self.capacity!.currentCores;
    };
    assert.equal(await run(2), 0.243 / 2);
    bytesPerSecond = 100_000;
    assert.equal(await run(10), 0.243);
    stopping.abort("done");
  });
});
