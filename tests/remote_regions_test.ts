import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RegionId } from "../ids/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import { startVirtualFleet } from "./virtual_fleet_fixture.ts";

/** Sends calls to `north`, whose servers answer after a time; returns the regions that were considered and those that served. */
async function measureCalls(northAnswersAfterMs: number): Promise<{
  readonly considered: ReadonlySet<RegionId>;
  readonly servedBy: ReadonlySet<string>;
}> {
  const fleet = await startVirtualFleet({
    regions: {
      north: { instances: 1, servers: 2 },
      south: { instances: 1, servers: 2 },
    },
    table: createRouteTable([createRoute("/a/")]),
    decide: ({ server }) => ({
      kind: "answer",
      afterMs: server.startsWith("north") ? northAnswersAfterMs : 40,
    }),
  });
  const call = async () => {
    void fleet.call(`call ${fleet.clock.nowMs()}`, "north-0");
    await fleet.clock.advance(100);
  };
  // The first calls let the instance learn how long answers take.
  for (let count = 0; count < 40; count++) await call();
  const considered = new Set<RegionId>();
  const { registry } = fleet.gateways.get("north-0")!;
  const listUsable = registry.listUsable.bind(registry);
  registry.listUsable = (service, region) => {
    considered.add(region);
    return listUsable(service, region);
  };
  const before = fleet.arrivals.length;
  for (let count = 0; count < 20; count++) await call();
  const servedBy = fleet.arrivals.slice(before)
    .map(({ server }) => server.split("-")[0]!);
  return { considered, servedBy: new Set(servedBy) };
}

describe("servers of another region", () => {
  it("are not considered if the round trip takes longer than an answer from the local region", async () => {
    const { considered, servedBy } = await measureCalls(30);
    assert.deepEqual([...considered], ["north"]);
    assert.deepEqual([...servedBy], ["north"]);
  });

  it("are considered if an answer from the local region takes longer than the round trip", async () => {
    const { considered } = await measureCalls(600);
    assert.deepEqual([...considered], ["north", "south"]);
  });
});
