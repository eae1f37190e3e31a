import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { MemberState } from "../fleet/mod.ts";
import type { HostHomes } from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createReport } from "../tests/report_fixture.ts";
import { pickEntries } from "./pick_entries.ts";
import { createFleet, createMember } from "../tests/member_fixture.ts";

const [NORTH, SOUTH, WEST] = ["north", "south", "west"].map(toRegionId) as [
  ReturnType<typeof toRegionId>,
  ReturnType<typeof toRegionId>,
  ReturnType<typeof toRegionId>,
];

/** When instances that left at the start no longer take calls, in milliseconds. */
const LATER_MS = 2_600;

/** One instance in each of three regions; that of the west answers. */
function startAnswering(states: Partial<Record<string, MemberState>>) {
  const createOne = (region: string) => createMember(`${region}-1`, region);
  const fleet = createFleet(createOne("west"));
  fleet.setState(states.west ?? "ready");
  // They are heard at the start, and once more when those that leave have for a while.
  [0, LATER_MS].forEach((atMs, sequence) =>
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

/** The same, of whose answers only the names count. */
function start(states: Partial<Record<string, MemberState>>) {
  const { pickAnswer } = startAnswering(states);
  return (region: typeof NORTH, homes: HostHomes, nowMs = LATER_MS) =>
    pickAnswer(region, homes, nowMs).entries.map(({ id }) => id);
}

const ANYWHERE: HostHomes = { kind: "anywhere" };
const IN_NORTH_OR_SOUTH: HostHomes = {
  kind: "bound",
  regions: [NORTH, SOUTH],
  usual: [],
};

describe("pickEntries()", () => {
  it("names the instances of the caller's region, wherever its data may be", () => {
    const pick = start({});
    assert.deepEqual(pick(NORTH, ANYWHERE), ["north-1"]);
    assert.deepEqual(pick(WEST, IN_NORTH_OR_SOUTH), ["west-1"]);
  });

  describe("when no instance of the caller's region takes calls", () => {
    it("names those where its data may be, and no others", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, IN_NORTH_OR_SOUTH), ["south-1"]);
    });

    it("names all others where its data is bound to no region", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual([...pick(NORTH, ANYWHERE)].sort(), [
        "south-1",
        "west-1",
      ]);
    });

    it("names those at home that have just begun to leave, before any other", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      const both = ["north-1", "south-1"];
      assert.deepEqual(pick(NORTH, IN_NORTH_OR_SOUTH, 1_000), both);
      assert.deepEqual(pick(NORTH, ANYWHERE, 1_000), ["west-1"]);
    });

    it("names none where none takes calls at home either", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      assert.deepEqual(pick(NORTH, IN_NORTH_OR_SOUTH), []);
    });

    it("names those where nearly all of its calls may be served, before those that leave", () => {
      const homes: HostHomes = { kind: "bound", regions: [], usual: [SOUTH] };
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, homes, 1_000), ["south-1"]);
      const pickLeaving = start({ north: "leaving", south: "leaving" });
      assert.deepEqual(pickLeaving(NORTH, homes, 1_000), ["north-1"]);
    });

    it("lets an answer that names those that leave count for a shorter time", () => {
      const { pickAnswer } = startAnswering({
        north: "leaving",
        south: "leaving",
      });
      const leaving = pickAnswer(NORTH, IN_NORTH_OR_SOUTH, 1_000);
      const near = pickAnswer(WEST, IN_NORTH_OR_SOUTH, 1_000);
      assert.deepEqual([leaving.choice, near.choice], ["leaving", "near"]);
      assert.ok(leaving.ttlMs <= near.ttlMs / 4);
    });

    it("names only its own that leave where it is not known what its calls are bound to", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, { kind: "unknown" }, 1_000), ["north-1"]);
      assert.deepEqual(pick(NORTH, { kind: "unknown" }), []);
    });

    it("names any that leave where none takes calls and nothing is bound", () => {
      const pick = start({
        north: "leaving",
        south: "leaving",
        west: "starting",
      });
      assert.deepEqual(pick(NORTH, ANYWHERE, 1_000), ["north-1", "south-1"]);
    });
  });
});
