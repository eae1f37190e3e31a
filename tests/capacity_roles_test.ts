// Guards against a region whose smallest instance aggregates the reports of all others, and against two pairs of aggregators while instances of earlier versions, which rank by name only, are in the region.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { MemberCapacity } from "../capacity/mod.ts";
import {
  countCalls,
  startReporters,
  type VirtualReporter,
} from "./reporter_fixture.ts";

const SMALL = createCapacity(0.243);
const LARGE = createCapacity(1.35);

function createCapacity(cores: number): MemberCapacity {
  return { ratedCores: cores, currentCores: cores };
}

/** Starts 12 instances of which the last four are large, and those with some numbers report no capacity. */
function startRegion(...withoutCapacity: readonly number[]) {
  const started = startReporters({
    perRegion: 12,
    findCapacity: (index) => {
      if (withoutCapacity.includes(index)) return undefined;
      return index >= 8 ? LARGE : SMALL;
    },
  });
  const crash = (index: number) => [...started.all.values()][index]!.crash();
  return { ...started, crash };
}

/** Checks who aggregates, that all live instances know of each other, and that each call counts once. */
function assertRegion(
  running: readonly VirtualReporter[],
  aggregators: readonly number[],
  nowMs: number,
): void {
  running.forEach((one) => {
    assert.equal(one.fleet.countLive(nowMs), running.length);
    assert.equal(countCalls(one), running.length);
  });
  assert.deepEqual(
    running.filter(({ reporter }) => reporter.summarizedCount > 0)
      .map(({ fleet }) => Number(fleet.self.id.slice(-3))),
    aggregators,
  );
}

describe("aggregators by capacity", () => {
  it("are the largest instances, and the next ones when all large ones die", async () => {
    const { clock, crash, listRunning } = startRegion();
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(3_000);
    assertRegion(listRunning(), [8, 9], clock.nowMs());
    [8, 9, 10, 11].forEach(crash);
    // The next two in rank are dead as well, which no summary tells. Members must neither
    // wait for them for long nor take each other for dead.
    for (let step = 0; step < 36; step++) {
      await clock.advance(100);
      listRunning().forEach(({ fleet }) =>
        assert.ok(fleet.countLive(clock.nowMs()) >= 8)
      );
    }
    assertRegion(listRunning(), [0, 1], clock.nowMs());
  });

  it("include a small one where a failure domain has no other, and stay while they are behind", async () => {
    const { clock, listRunning } = startReporters({
      perRegion: 12,
      findCapacity: (index) => index % 2 === 0 ? LARGE : SMALL,
    });
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(3_000);
    listRunning()[0]!.fleet.setCapacity({ ...LARGE, currentCores: 0.3 });
    for (let step = 0; step < 10; step++) {
      await clock.advance(200);
      assertRegion(listRunning(), [0, 1], clock.nowMs());
    }
  });

  it("are the first by name until the last instance without capacity is gone", async () => {
    const { clock, crash, listRunning } = startRegion(4);
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(3_000);
    assertRegion(listRunning(), [0, 1], clock.nowMs());
    crash(4);
    await clock.advance(3_000);
    assertRegion(listRunning(), [8, 9], clock.nowMs());
  });

  it("follow the aggregators of an earlier version", async () => {
    const { clock, crash, listRunning } = startRegion(0, 1);
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(3_000);
    crash(0);
    await clock.advance(2_000);
    crash(1);
    await clock.advance(3_500);
    assertRegion(listRunning(), [8, 9], clock.nowMs());
  });

  // The seed is known to all from the start, but the aggregators are not: members gathered
  // around several aggregators that did not learn of each other while the store was silent.
  it("become known to 65 instances that start at once, without the store", async () => {
    const { clock, listRunning } = startReporters({
      perRegion: 65,
      findCapacity: (index) => createCapacity(0.25 + index % 5),
    });
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(4_000);
    assertRegion(listRunning(), [4, 9], clock.nowMs());
  });
});
