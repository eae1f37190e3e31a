// What callers saw on a fleet of 195 instances: a fifth of what the day was worth
// went into messages between instances. The evidence: each told each other one of its
// region seven times a second, 121.5 KB/s each at 65 in a region with no call in
// flight, half of it between failure domains.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  countCalls,
  startReporters,
  type VirtualReporter,
} from "./reporter_fixture.ts";

/** Most bytes that an instance of a region of 65 sends a second. */
const MOST_BYTES_EACH = 20_000;
/**
 * Oldest word of another instance's calls, in milliseconds: its round, the
 * aggregator's, the way of both, and one of the two lost.
 */
const OLDEST_WORD_MS = 460;

function assertAllCount(
  running: readonly VirtualReporter[],
  calls: number,
): void {
  const counts = running.map(countCalls);
  assert.deepEqual(counts, counts.map(() => calls));
}

describe("reports inside a region", () => {
  [2, 8, 9, 24, 65].forEach((perRegion) => {
    it(`count each call once at each of ${perRegion} instances`, async () => {
      const { clock, listRunning } = startReporters({ perRegion });
      await clock.advance(3_000);
      listRunning().forEach(({ addCalls }, index) => addCalls(1 + index % 3));
      const calls = listRunning()
        .reduce((sum, _, index) => sum + 1 + index % 3, 0);
      await clock.advance(OLDEST_WORD_MS);
      assertAllCount(listRunning(), calls);
      // What an instance does itself counts at once, and once.
      listRunning().forEach((one) => {
        const before = countCalls(one);
        one.addCalls(5);
        assert.equal(countCalls(one), before + 5);
        one.addCalls(-5);
        assert.equal(countCalls(one), before);
      });
      await clock.advance(1_000);
      assertAllCount(listRunning(), calls);
    });

    it(`let each of ${perRegion} instances know that all run`, async () => {
      const { clock, listRunning } = startReporters({ perRegion });
      await clock.advance(3_000);
      for (let step = 0; step < 30; step++) {
        await clock.advance(100);
        const counts = listRunning().map(({ fleet }) =>
          fleet.countAll(clock.nowMs())
        );
        assert.equal(Math.min(...counts), perRegion);
      }
    });
  });

  it("grow with the region, not with its square", async () => {
    const { clock, counted, listRunning } = startReporters({ perRegion: 65 });
    await clock.advance(3_000);
    Object.assign(counted, { datagrams: 0, bytes: 0, bytesBetweenDomains: 0 });
    await clock.advance(3_000);
    const each = (total: number) => total / 3 / listRunning().length;
    assert.ok(each(counted.bytes) < MOST_BYTES_EACH, `${each(counted.bytes)}`);
    assert.ok(each(counted.datagrams) < 30, `${each(counted.datagrams)}`);
    assert.ok(each(counted.bytesBetweenDomains) < MOST_BYTES_EACH / 8);
  });

  describe("when an aggregator is lost", () => {
    it("go on from the other one within two rounds", async () => {
      const { all, clock, listRunning } = startReporters({ perRegion: 24 });
      await clock.advance(3_000);
      all.get("north-000:1")!.lose();
      listRunning().forEach(({ addCalls }) => addCalls(1));
      await clock.advance(2 * 450);
      assertAllCount(listRunning(), 23);
    });

    it("go on when the other one is lost as well", async () => {
      const { all, clock, listRunning } = startReporters({ perRegion: 24 });
      await clock.advance(3_000);
      all.get("north-000:1")!.lose();
      all.get("north-001:1")!.lose();
      listRunning().forEach(({ addCalls }) => addCalls(1));
      await clock.advance(2_500);
      assertAllCount(listRunning(), 22);
    });
  });

  describe("when an aggregator is cut off from the members of its domain", () => {
    it("count what the others say themselves, and come back", async () => {
      const { clock, listRunning, network } = startReporters({ perRegion: 12 });
      await clock.advance(3_000);
      network.passes = (from) => from !== "north-000:1";
      await clock.advance(3_000);
      listRunning().forEach(({ addCalls }) => addCalls(1));
      await clock.advance(1_000);
      const others = listRunning().filter(({ address }) =>
        address !== "north-000:1"
      );
      assertAllCount(others, 11);
      network.passes = () => true;
      await clock.advance(2_000);
      assertAllCount(listRunning(), 12);
    });
  });

  it("are right again 3 s after any losses, in regions of any size", async () => {
    const losses = fc.record({
      perRegion: fc.integer({ min: 1, max: 60 }),
      domains: fc.integer({ min: 1, max: 4 }),
      lost: fc.array(
        fc.record({
          index: fc.integer({ min: 0, max: 59 }),
          afterMs: fc.integer({ min: 0, max: 700 }),
        }),
        { maxLength: 12 },
      ),
    });
    await fc.assert(
      fc.asyncProperty(losses, async ({ domains, lost, perRegion }) => {
        const { all, clock, listRunning } = startReporters({
          perRegion,
          domains,
        });
        await clock.advance(2_500);
        const addresses = [...all.keys()];
        for (const { afterMs, index } of lost) {
          await clock.advance(afterMs);
          all.get(addresses[index % perRegion]!)!.lose();
        }
        listRunning().forEach(({ addCalls }) => addCalls(2));
        await clock.advance(3_000);
        assertAllCount(listRunning(), 2 * listRunning().length);
      }),
      { numRuns: 25, seed: 11 },
    );
  });
});

describe("reports between large regions", () => {
  it("reach every instance, and cost a reporter no more than its own region", async () => {
    const { clock, counted, listRunning } = startReporters({
      regions: ["north", "south", "west"],
      perRegion: 24,
    });
    await clock.advance(6_000);
    listRunning().forEach(({ addCalls }) => addCalls(1));
    await clock.advance(2_000);
    assertAllCount(listRunning(), 72);
    counted.datagrams = 0;
    await clock.advance(3_000);
    assert.ok(counted.datagrams / 3 / 72 < 45, `${counted.datagrams / 3 / 72}`);
  });
});
