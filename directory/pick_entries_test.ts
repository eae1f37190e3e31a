import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { MemberState } from "../fleet/mod.ts";
import type { HostHomes } from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createReport } from "../tests/report_fixture.ts";
import { pickEntries } from "./pick_entries.ts";
import { createFleetView, createMember } from "../tests/member_fixture.ts";

const [NORTH, SOUTH, WEST] = ["north", "south", "west"].map(toRegionId) as [
  ReturnType<typeof toRegionId>,
  ReturnType<typeof toRegionId>,
  ReturnType<typeof toRegionId>,
];

/** Time at which instances that began to shut down at 0 no longer accept calls, in milliseconds. */
const DRAINED_MS = 2_600;

/** Creates one instance in each of three regions; that of the west region answers. */
function startAnswering(states: Partial<Record<string, MemberState>>) {
  const createOne = (region: string) => createMember(`${region}-1`, region);
  const fleet = createFleetView(createOne("west"));
  fleet.setState(states.west ?? "ready");
  // Reports arrive at 0, and again once instances in graceful shutdown accept no more calls.
  [0, DRAINED_MS].forEach((atMs, sequence) =>
    ["north", "south"].forEach((region) =>
      fleet.applyReport(
        createReport(
          { ...createOne(region), state: states[region] ?? "ready" },
          sequence + 1,
        ),
        atMs,
      )
    )
  );
  return {
    pickAnswer: (region: typeof NORTH, homes: HostHomes, nowMs: number) =>
      pickEntries(fleet, { region, findHomes: () => homes }, nowMs),
  };
}

/** Does the same, but returns only the ids of the named instances. */
function start(states: Partial<Record<string, MemberState>>) {
  const { pickAnswer } = startAnswering(states);
  return (region: typeof NORTH, homes: HostHomes, nowMs = DRAINED_MS) =>
    pickAnswer(region, homes, nowMs).entries.map(({ id }) => id);
}

const ANYWHERE: HostHomes = { kind: "anywhere" };
const IN_NORTH_OR_SOUTH: HostHomes = {
  kind: "bound",
  regions: [NORTH, SOUTH],
  usual: [],
};

describe("pickEntries()", () => {
  it("names the instances of the caller's region, whatever the home regions of its calls", () => {
    const pick = start({});
    assert.deepEqual(pick(NORTH, ANYWHERE), ["north-1"]);
    assert.deepEqual(pick(WEST, IN_NORTH_OR_SOUTH), ["west-1"]);
  });

  describe("when no instance of the caller's region accepts calls", () => {
    it("names only instances of the home regions", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, IN_NORTH_OR_SOUTH), ["south-1"]);
    });

    it("names all other instances if its calls have no home regions", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual([...pick(NORTH, ANYWHERE)].sort(), [
        "south-1",
        "west-1",
      ]);
    });

    it("prefers instances of the home regions that have just begun to shut down to any other region", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      const both = ["north-1", "south-1"];
      assert.deepEqual(pick(NORTH, IN_NORTH_OR_SOUTH, 1_000), both);
      assert.deepEqual(pick(NORTH, ANYWHERE, 1_000), ["west-1"]);
    });

    it("names none if no instance of the home regions accepts calls either", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      assert.deepEqual(pick(NORTH, IN_NORTH_OR_SOUTH), []);
    });

    it("prefers regions that may serve nearly all of its calls to instances in graceful shutdown", () => {
      const homes: HostHomes = { kind: "bound", regions: [], usual: [SOUTH] };
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, homes, 1_000), ["south-1"]);
      const pickLeaving = start({ north: "leaving", south: "leaving" });
      assert.deepEqual(pickLeaving(NORTH, homes, 1_000), ["north-1"]);
    });

    it("gives a shorter lifetime to an answer that names instances in graceful shutdown", () => {
      const { pickAnswer } = startAnswering({
        north: "leaving",
        south: "leaving",
      });
      const leaving = pickAnswer(NORTH, IN_NORTH_OR_SOUTH, 1_000);
      const near = pickAnswer(WEST, IN_NORTH_OR_SOUTH, 1_000);
      assert.deepEqual([leaving.choice, near.choice], ["leaving", "near"]);
      assert.ok(leaving.ttlMs <= near.ttlMs / 4);
    });

    it("names only leaving instances of the caller's region if the home regions are unknown", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, { kind: "unknown" }, 1_000), ["north-1"]);
      assert.deepEqual(pick(NORTH, { kind: "unknown" }), []);
    });

    it("names any leaving instance if none is ready and the calls have no home regions", () => {
      const pick = start({
        north: "leaving",
        south: "leaving",
        west: "starting",
      });
      assert.deepEqual(pick(NORTH, ANYWHERE, 1_000), ["north-1", "south-1"]);
    });
  });
});
