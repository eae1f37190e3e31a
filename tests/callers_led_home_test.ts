// What callers saw: while instances were restarted, the directory named instances of
// regions that were neither the callers' own nor a home of their calls, and up to 254
// of 1,350 calls with homes went there: refused, since nobody at home took them, or
// served by way of the wrong region although instances at home were ready.
//
// The order of events: the last ready instance of a region begins to leave; callers of
// that region ask the directory for a host; its answer names every ready instance of
// every region. The cause: one answer serves all calls of a host, and a host whose
// calls differ was taken for one whose calls may go anywhere, both where some of its
// routes are bound and others not, and where the bound ones have no home in common.
//
// The evidence, from the log of answers: `choice=elsewhere` with a configuration in
// force and with `front-cairo-a-1 ready`, a home, among `members`; the host had routes
// with homes `cairo`, `alexandria`, both, and none. Two other guesses were ruled out by
// the same lines: no such answer was given without a configuration, and every picture
// of the members was right to within 0.4 s.
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

/** When instances that left at the start no longer take calls, in milliseconds. */
const LATER_MS = 2_600;

/** The instance of the north, which answers, with one each in the south and the west. */
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
  const hearOthers = (sequence: number) =>
    (["south", "west"] as const).forEach((region) => {
      const member = { ...createMember(`${region}-1`, region) };
      const report = createReport(
        { ...member, state: states[region] },
        sequence,
      );
      gateway.receiveReport(report, member.address);
    });
  hearOthers(1);
  await clock.advance(LATER_MS);
  hearOthers(2);
  return {
    /** Lets callers of the north send so many calls to a path. */
    call: async (path: string, count: number) => {
      Array.from({ length: count }, () =>
        void gateway.forwarder.handle(
          { ...createOpaqueCall(clock.nowMs()), target: `${path}x` },
          createHeadSink(() => {}),
        ));
      await clock.advance(0);
    },
    pick: (region = NORTH) =>
      gateway.pickEntries(region, ROUTE_HOST).entries.map(({ id }): string =>
        id
      ),
  };
}

describe("callers of a region none of whose instances takes calls", () => {
  const LEFT = { north: "leaving", south: "ready", west: "ready" } as const;
  const ALL_HOMES_LEFT = {
    north: "leaving",
    south: "leaving",
    west: "ready",
  } as const;

  describe("for a host with bound and unbound calls", () => {
    it("are led to its homes", async () => {
      const { pick } = await start([BOUND, UNBOUND], LEFT);
      assert.deepEqual(pick(), ["south-1"]);
    });

    it("are never led to other regions, even while none takes calls at home", async () => {
      const { pick } = await start([BOUND, UNBOUND], ALL_HOMES_LEFT);
      assert.ok(!pick().includes("west-1"));
    });
  });

  describe("for a host whose bound routes have no home in common", () => {
    const ROUTES = [
      BOUND,
      UNBOUND,
      createRoute("/n/", ["north"]),
      createRoute("/s/", ["south"]),
    ];

    it("are never led where none of its homes is", async () => {
      const { pick } = await start(ROUTES, LEFT);
      assert.ok(!pick().includes("west-1"));
      const { pick: pickLater } = await start(ROUTES, ALL_HOMES_LEFT);
      assert.deepEqual(pickLater(WEST), ["west-1"]);
    });

    it("are led where nearly all of its calls have their home", async () => {
      const { call, pick } = await start(ROUTES, LEFT);
      await call("/a/", 100);
      await call("/n/", 3);
      assert.deepEqual(pick(), ["south-1"]);
    });

    it("are led nowhere while over one in twenty of its calls would go wrong", async () => {
      const { call, pick } = await start(ROUTES, LEFT);
      await call("/a/", 100);
      await call("/n/", 6);
      assert.deepEqual(pick(), []);
    });
  });

  describe("by an instance that knows no configuration yet", () => {
    it("are led nowhere: any call may be bound", async () => {
      const { pick } = await start("no configuration", LEFT);
      assert.deepEqual(pick(), []);
    });
  });

  describe("for a host without homes", () => {
    it("are led to all other regions", async () => {
      const { pick } = await start([UNBOUND], LEFT);
      assert.deepEqual([...pick()].sort(), ["south-1", "west-1"]);
    });
  });
});
