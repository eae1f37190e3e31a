import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import type { RegionId } from "../ids/mod.ts";
import { createRoute, createRouteTable } from "./route_fixture.ts";
import { VirtualFleet } from "./virtual_fleet.ts";

const FLEETS: VirtualFleet[] = [];
afterEach(() => FLEETS.splice(0).forEach((fleet) => fleet.stop()));

/** Plays calls to servers of north that answer after a time, and returns the regions that were looked at. */
async function play(northAnswersAfterMs: number): Promise<{
  readonly asked: ReadonlySet<RegionId>;
  readonly servedBy: ReadonlySet<string>;
}> {
  const fleet = new VirtualFleet({
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
  FLEETS.push(fleet);
  await fleet.clock.advance(2_000);
  const call = async () => {
    void fleet.call(`call ${fleet.clock.nowMs()}`, "north-0");
    await fleet.clock.advance(100);
  };
  // How long answers take is learned first.
  for (let count = 0; count < 40; count++) await call();
  const asked = new Set<RegionId>();
  const { registry } = fleet.gateways.get("north-0")!;
  const listUsable = registry.listUsable.bind(registry);
  registry.listUsable = (service, region) => {
    asked.add(region);
    return listUsable(service, region);
  };
  const before = fleet.arrivals.length;
  for (let count = 0; count < 20; count++) await call();
  const servedBy = fleet.arrivals.slice(before)
    .map(({ server }) => server.split("-")[0]!);
  return { asked, servedBy: new Set(servedBy) };
}

describe("servers of another region", () => {
  it("are not looked at where the way there takes longer than an answer of the own one", async () => {
    const { asked, servedBy } = await play(30);
    assert.deepEqual([...asked], ["north"]);
    assert.deepEqual([...servedBy], ["north"]);
  });

  it("are looked at where the own one takes longer than the way", async () => {
    const { asked } = await play(600);
    assert.deepEqual([...asked], ["north", "south"]);
  });
});
