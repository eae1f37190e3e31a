import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FleetView, LoadBoard, type MemberState } from "../fleet/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createReport } from "../tests/report_fixture.ts";
import { pickEntries } from "./pick_entries.ts";
import { createMember } from "../tests/member_fixture.ts";

const [NORTH, SOUTH, WEST] = ["north", "south", "west"].map(toRegionId) as [
  ReturnType<typeof toRegionId>,
  ReturnType<typeof toRegionId>,
  ReturnType<typeof toRegionId>,
];

/** When instances that left at the start no longer take calls, in milliseconds. */
const LATER_MS = 2_600;

/** One instance in each of three regions; that of the west answers. */
function start(states: Partial<Record<string, MemberState>>) {
  const createOne = (region: string) => createMember(`${region}-1`, region);
  const fleet = new FleetView({
    self: createOne("west"),
    loads: new LoadBoard(),
  });
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
  return (
    region: typeof NORTH,
    regions: readonly (typeof NORTH)[],
    isBound = regions.length > 0,
    nowMs = LATER_MS,
  ) =>
    pickEntries(
      fleet,
      { region, readHomes: () => ({ regions, isBound }) },
      nowMs,
    ).entries.map(({ id }) => id);
}

describe("pickEntries()", () => {
  it("names the instances of the caller's region, wherever its data may be", () => {
    const pick = start({});
    assert.deepEqual(pick(NORTH, []), ["north-1"]);
    assert.deepEqual(pick(WEST, [NORTH, SOUTH]), ["west-1"]);
  });

  describe("when no instance of the caller's region takes calls", () => {
    it("names those where its data may be, and no others", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual(pick(NORTH, [NORTH, SOUTH]), ["south-1"]);
    });

    it("names all others where its data is bound to no region", () => {
      const pick = start({ north: "leaving" });
      assert.deepEqual([...pick(NORTH, [])].sort(), ["south-1", "west-1"]);
    });

    it("names those at home that have just begun to leave, before any other", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      const homes = [NORTH, SOUTH];
      const both = ["north-1", "south-1"];
      assert.deepEqual(pick(NORTH, homes, true, 1_000), both);
      assert.deepEqual(pick(NORTH, homes, false, 1_000), both);
      assert.deepEqual(pick(NORTH, [], false, 1_000), ["west-1"]);
    });

    it("names none where none takes calls at home either, and no other can serve", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      assert.deepEqual(pick(NORTH, [NORTH, SOUTH]), []);
    });

    it("names all others then where some of its calls are bound to no region", () => {
      const pick = start({ north: "leaving", south: "leaving" });
      assert.deepEqual(pick(NORTH, [NORTH, SOUTH], false), ["west-1"]);
    });
  });
});
