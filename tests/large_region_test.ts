// Guards against reports from each instance to every other one of its region seven times a second: without any call in flight they were 121.5 KB/s each at 65 instances a region, half of it between failure domains, and in a fleet of 195 instances they cost a fifth of what its served calls were worth.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  countCalls,
  startReporters,
  type VirtualReporter,
} from "./reporter_fixture.ts";

/** Maximum bytes a second that an instance of a region of 65 sends. */
const MAX_BYTES_PER_SECOND = 20_000;
/**
 * Maximum age of the call count of another instance, in milliseconds: a round of
 * that instance, a round of the aggregator, the network delay of both reports, and
 * the loss of one of the two.
 */
const MAX_COUNT_AGE_MS = 460;

function assertCallCounts(
  running: readonly VirtualReporter[],
  calls: number,
): void {
  const counts = running.map(countCalls);
  assert.deepEqual(counts, counts.map(() => calls));
}

describe("reports within a region", () => {
  [2, 8, 9, 24, 65].forEach((perRegion) => {
    it(`count each call once at each of ${perRegion} instances`, async () => {
      const { clock, listRunning } = startReporters({ perRegion });
      await clock.advance(3_000);
      listRunning().forEach(({ addCalls }, index) => addCalls(1 + index % 3));
      const calls = listRunning()
        .reduce((sum, _, index) => sum + 1 + index % 3, 0);
      await clock.advance(MAX_COUNT_AGE_MS);
      assertCallCounts(listRunning(), calls);
      // An instance counts its own calls immediately, and once.
      listRunning().forEach((one) => {
        const before = countCalls(one);
        one.addCalls(5);
        assert.equal(countCalls(one), before + 5);
        one.addCalls(-5);
        assert.equal(countCalls(one), before);
      });
      await clock.advance(1_000);
      assertCallCounts(listRunning(), calls);
    });

    it(`let each of ${perRegion} instances know that all are live`, async () => {
      const { clock, listRunning } = startReporters({ perRegion });
      await clock.advance(3_000);
      for (let step = 0; step < 30; step++) {
        await clock.advance(100);
        const counts = listRunning().map(({ fleet }) =>
          fleet.countLive(clock.nowMs())
        );
        assert.equal(Math.min(...counts), perRegion);
      }
    });
  });

  it("grow linearly with the size of the region, not quadratically", async () => {
    const { clock, counted, listRunning } = startReporters({ perRegion: 65 });
    await clock.advance(3_000);
    Object.assign(counted, { datagrams: 0, bytes: 0, bytesBetweenDomains: 0 });
    await clock.advance(3_000);
    const toRatePerInstance = (total: number) =>
      total / 3 / listRunning().length;
    assert.ok(
      toRatePerInstance(counted.bytes) < MAX_BYTES_PER_SECOND,
      `${toRatePerInstance(counted.bytes)}`,
    );
    assert.ok(
      toRatePerInstance(counted.datagrams) < 30,
      `${toRatePerInstance(counted.datagrams)}`,
    );
    assert.ok(
      toRatePerInstance(counted.bytesBetweenDomains) < MAX_BYTES_PER_SECOND / 8,
    );
  });

  describe("when an aggregator crashes", () => {
    it("reach all instances through the other aggregator within two rounds", async () => {
      const { all, clock, listRunning } = startReporters({ perRegion: 24 });
      await clock.advance(3_000);
      all.get("north-000:1")!.crash();
      listRunning().forEach(({ addCalls }) => addCalls(1));
      await clock.advance(2 * 450);
      assertCallCounts(listRunning(), 23);
    });

    it("reach all instances again when the other aggregator crashes as well", async () => {
      const { all, clock, listRunning } = startReporters({ perRegion: 24 });
      await clock.advance(3_000);
      all.get("north-000:1")!.crash();
      all.get("north-001:1")!.crash();
      listRunning().forEach(({ addCalls }) => addCalls(1));
      await clock.advance(2_500);
      assertCallCounts(listRunning(), 22);
    });
  });

  describe("when the reports of an aggregator are lost", () => {
    it("leave out the calls of that aggregator only, and are complete once its reports arrive again", async () => {
      const { clock, listRunning, network } = startReporters({ perRegion: 12 });
      await clock.advance(3_000);
      network.passes = (from) => from !== "north-000:1";
      await clock.advance(3_000);
      listRunning().forEach(({ addCalls }) => addCalls(1));
      await clock.advance(1_000);
      const others = listRunning().filter(({ address }) =>
        address !== "north-000:1"
      );
      assertCallCounts(others, 11);
      network.passes = () => true;
      await clock.advance(2_000);
      assertCallCounts(listRunning(), 12);
    });
  });

  it("give exact counts 3 s after any crashes, in regions of any size", async () => {
    const crashes = fc.record({
      perRegion: fc.integer({ min: 1, max: 60 }),
      domains: fc.integer({ min: 1, max: 4 }),
      crashed: fc.array(
        fc.record({
          index: fc.integer({ min: 0, max: 59 }),
          afterMs: fc.integer({ min: 0, max: 700 }),
        }),
        { maxLength: 12 },
      ),
    });
    await fc.assert(
      fc.asyncProperty(crashes, async ({ domains, crashed, perRegion }) => {
        const { all, clock, listRunning } = startReporters({
          perRegion,
          domains,
        });
        await clock.advance(2_500);
        const addresses = [...all.keys()];
        for (const { afterMs, index } of crashed) {
          await clock.advance(afterMs);
          all.get(addresses[index % perRegion]!)!.crash();
        }
        listRunning().forEach(({ addCalls }) => addCalls(2));
        await clock.advance(3_000);
        assertCallCounts(listRunning(), 2 * listRunning().length);
      }),
      { numRuns: 25, seed: 11 },
    );
  });
});

describe("reports between large regions", () => {
  it("reach every instance, and cost an instance fewer than 45 datagrams a second", async () => {
    const { clock, counted, listRunning } = startReporters({
      regions: ["north", "south", "west"],
      perRegion: 24,
    });
    await clock.advance(6_000);
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(2_000);
    assertCallCounts(listRunning(), 72);
    counted.datagrams = 0;
    await clock.advance(3_000);
    assert.ok(counted.datagrams / 3 / 72 < 45, `${counted.datagrams / 3 / 72}`);
  });
});
