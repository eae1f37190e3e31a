// Guards against a region whose smallest instance aggregates the reports of all others, and against two pairs of aggregators while instances of earlier versions, which rank by name only, are in the region.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { MemberCapacity } from "../capacity/mod.ts";
import {
  countCalls,
  startReporters,
  type VirtualReporter,
} from "./reporter_fixture.ts";

const PER_REGION = 12;
const SMALL = createCapacity(0.243);
const LARGE = createCapacity(1.35);

function createCapacity(cores: number): MemberCapacity {
  return { ratedCores: cores, currentCores: cores };
}

function listAggregators(
  running: readonly VirtualReporter[],
): readonly string[] {
  return running.filter(({ reporter }) => reporter.summarizedCount > 0)
    .map(({ fleet }) => fleet.self.id);
}

function assertCallCounts(
  running: readonly VirtualReporter[],
  calls: number,
): void {
  assert.deepEqual(running.map(countCalls), running.map(() => calls));
}

describe("aggregators by capacity", () => {
  it("are the largest instances of two failure domains, and the next ones when all large ones die", async () => {
    const { all, clock, listRunning } = startReporters({
      perRegion: PER_REGION,
      findCapacity: (index) => index >= 8 ? LARGE : SMALL,
    });
    await clock.advance(3_000);
    assert.deepEqual(listAggregators(listRunning()), [
      "north-008",
      "north-009",
    ]);
    [8, 9, 10, 11].forEach((index) =>
      all.get(`north-${String(index).padStart(3, "0")}:1`)!.crash()
    );
    listRunning().forEach(({ addCalls }) => addCalls(1));
    // The next two in rank are dead as well, which no summary tells. Members must neither
    // wait for them for long nor take each other for dead.
    for (let step = 0; step < 35; step++) {
      await clock.advance(100);
      listRunning().forEach(({ fleet }) =>
        assert.ok(fleet.countLive(clock.nowMs()) >= 8)
      );
    }
    assert.deepEqual(listAggregators(listRunning()), [
      "north-000",
      "north-001",
    ]);
    assertCallCounts(listRunning(), 8);
  });

  // The seed is known to all from the start, but the aggregators are not: members gathered
  // around several aggregators that did not learn of each other while the store was silent.
  it("become known to all instances that start at once, without the store", async () => {
    const sizes = [0.243, 0.324, 0.54, 0.675, 1.35];
    const { clock, listRunning } = startReporters({
      perRegion: 65,
      findCapacity: (index) => createCapacity(sizes[index % sizes.length]!),
    });
    await clock.advance(4_000);
    assert.deepEqual(listAggregators(listRunning()), [
      "north-004",
      "north-009",
    ]);
    listRunning().forEach(({ fleet }) =>
      assert.equal(fleet.countLive(clock.nowMs()), 65)
    );
  });

  it("include a small instance where a failure domain has no other", async () => {
    const { clock, listRunning } = startReporters({
      perRegion: PER_REGION,
      findCapacity: (index) => index % 2 === 0 ? LARGE : SMALL,
    });
    await clock.advance(3_000);
    assert.deepEqual(listAggregators(listRunning()), [
      "north-000",
      "north-001",
    ]);
  });

  it("stay when capacities change while the instances run", async () => {
    const { clock, listRunning } = startReporters({
      perRegion: PER_REGION,
      findCapacity: (index) => index >= 8 ? LARGE : SMALL,
    });
    await clock.advance(3_000);
    const before = listAggregators(listRunning());
    listRunning().forEach(({ addCalls, fleet }) => {
      addCalls(1);
      const { ratedCores } = fleet.self.capacity!;
      if (before.includes(fleet.self.id)) {
        fleet.setCapacity({ ratedCores, currentCores: ratedCores / 4 });
      }
    });
    for (let step = 0; step < 20; step++) {
      await clock.advance(100);
      assert.deepEqual(listAggregators(listRunning()), before);
    }
    assertCallCounts(listRunning(), PER_REGION);
  });

  it("are the first by name while an instance of an earlier version is left, and change once it is gone", async () => {
    const { all, clock, listRunning } = startReporters({
      perRegion: PER_REGION,
      findCapacity: (index) => {
        if (index === 4) return undefined;
        return index >= 8 ? LARGE : SMALL;
      },
    });
    await clock.advance(3_000);
    assert.deepEqual(listAggregators(listRunning()), [
      "north-000",
      "north-001",
    ]);
    listRunning().forEach(({ addCalls }) => addCalls(1));
    all.get("north-004:1")!.crash();
    // The silent member is dead after 1.2 s; its successors gather reports for 0.3 s.
    await clock.advance(3_000);
    assert.deepEqual(listAggregators(listRunning()), [
      "north-008",
      "north-009",
    ]);
    assertCallCounts(listRunning(), PER_REGION - 1);
  });

  it("change without a wrong count when the aggregators of an earlier version are replaced", async () => {
    const { all, clock, listRunning } = startReporters({
      perRegion: PER_REGION,
      findCapacity: (index) => {
        if (index < 2) return undefined;
        return index >= 8 ? LARGE : SMALL;
      },
    });
    await clock.advance(3_000);
    all.get("north-000:1")!.crash();
    await clock.advance(2_000);
    all.get("north-001:1")!.crash();
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(3_500);
    assert.deepEqual(listAggregators(listRunning()), [
      "north-008",
      "north-009",
    ]);
    assertCallCounts(listRunning(), PER_REGION - 2);
  });
});
