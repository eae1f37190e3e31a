// Guards against directory answers with instances of regions that are neither the callers' own nor a home: a host with bound and unbound routes, or with bound routes without a common home, was treated as unbound when the last ready instance of a region left, and up to 254 of 1,350 calls with homes were refused or served through a wrong region.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import type { MemberState } from "../fleet/mod.ts";
import type { HttpRoute } from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createMember } from "./member_fixture.ts";
import { createReport } from "./report_fixture.ts";
import { createRoute, createRouteTable, ROUTE_HOST } from "./route_fixture.ts";
import { createHeadSink, createOpaqueCall } from "./opaque_call_fixture.ts";
import { createVirtualGateway, LOADED_STATE } from "./virtual_gateway.ts";

const [NORTH, WEST] = [toRegionId("north"), toRegionId("west")] as const;

const UNBOUND = createRoute("/anywhere/");
const BOUND = createRoute("/a/", ["north", "south"]);

/** Time after which instances that left at the start no longer take calls, in milliseconds. */
const AFTER_ACCEPTING_MS = 2_600;

/** Starts the instance of the north, which answers directory requests and knows one instance each in the south and the west. */
async function start(
  routes: readonly HttpRoute[] | "no configuration",
  states: Readonly<Record<"north" | "south" | "west", MemberState>>,
) {
  const clock = new VirtualClock();
  const isLoaded = routes !== "no configuration";
  const gateway = createVirtualGateway("north-1", {
    clock,
    createState: () => ({ ...LOADED_STATE, isLoaded }),
  });
  if (isLoaded) gateway.forwarder.setTable(createRouteTable(routes));
  gateway.fleet.setState(states.north, clock.nowMs());
  const receiveReports = (sequence: number) =>
    (["south", "west"] as const).forEach((region) => {
      const member = { ...createMember(`${region}-1`, region) };
      const report = createReport(
        { ...member, state: states[region] },
        sequence,
      );
      gateway.receiveReport(report, member.address);
    });
  receiveReports(1);
  await clock.advance(AFTER_ACCEPTING_MS);
  receiveReports(2);
  return {
    /** Sends a number of calls to a path of the north. */
    call: async (path: string, count: number) => {
      Array.from({ length: count }, () =>
        void gateway.forwarder.handle(
          { ...createOpaqueCall(clock.nowMs()), target: `${path}x` },
          createHeadSink(() => {}),
        ));
      await clock.advance(0);
    },
    pickIds: (region = NORTH) =>
      gateway.pickEntries(region, ROUTE_HOST).entries.map(({ id }): string =>
        id
      ),
  };
}

describe("callers of a region in which no instance takes calls", () => {
  const NORTH_LEAVING = {
    north: "leaving",
    south: "ready",
    west: "ready",
  } as const;
  const ALL_HOMES_LEAVING = {
    north: "leaving",
    south: "leaving",
    west: "ready",
  } as const;

  describe("for a host with bound and unbound calls", () => {
    it("are directed to its homes", async () => {
      const { pickIds } = await start([BOUND, UNBOUND], NORTH_LEAVING);
      assert.deepEqual(pickIds(), ["south-1"]);
    });

    it("are never directed to other regions, even while no instance takes calls at home", async () => {
      const { pickIds } = await start([BOUND, UNBOUND], ALL_HOMES_LEAVING);
      assert.ok(!pickIds().includes("west-1"));
    });
  });

  describe("for a host whose bound routes have no home in common", () => {
    const ROUTES = [
      BOUND,
      UNBOUND,
      createRoute("/n/", ["north"]),
      createRoute("/s/", ["south"]),
    ];

    it("are never directed to a region that is none of its homes", async () => {
      const { pickIds } = await start(ROUTES, NORTH_LEAVING);
      assert.ok(!pickIds().includes("west-1"));
      const { pickIds: pickIdsWithoutHomes } = await start(
        ROUTES,
        ALL_HOMES_LEAVING,
      );
      assert.deepEqual(pickIdsWithoutHomes(WEST), ["west-1"]);
    });

    it("are directed to the home of nearly all of its calls", async () => {
      const { call, pickIds } = await start(ROUTES, NORTH_LEAVING);
      await call("/a/", 100);
      await call("/n/", 3);
      assert.deepEqual(pickIds(), ["south-1"]);
    });

    it("get no instance while over one in twenty of its calls would go to a region that is not their home", async () => {
      const { call, pickIds } = await start(ROUTES, NORTH_LEAVING);
      await call("/a/", 100);
      await call("/n/", 6);
      assert.deepEqual(pickIds(), []);
    });
  });

  describe("by an instance without a configuration", () => {
    it("get no instance, since any call may be bound", async () => {
      const { pickIds } = await start("no configuration", NORTH_LEAVING);
      assert.deepEqual(pickIds(), []);
    });
  });

  describe("for a host without homes", () => {
    it("are directed to all other regions", async () => {
      const { pickIds } = await start([UNBOUND], NORTH_LEAVING);
      assert.deepEqual([...pickIds()].sort(), ["south-1", "west-1"]);
    });
  });
});
