import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { createContent } from "./content_fixture.ts";
import { startReporters, type VirtualReporter } from "./reporter_fixture.ts";

/** Instances of a region in the largest deployment of these. */
const LARGE_REGION = 65;
/** Calls that a server had when it ended, at one instance. */
const CALLS_BESIDE = 20;
/** Most bytes a second that an instance may send to tell others what it does. */
const MAX_BYTES_PER_SECOND = 2_048;

const BAD = createContent("bad");

async function startRegions(perRegion: number) {
  const fleet = startReporters({
    perRegion,
    regions: ["north", "south", "west"],
  });
  await fleet.clock.advance(6_000);
  return fleet;
}

/** Three servers end, each under the call as it is at another instance, and under others. */
function endServers(
  reporters: readonly VirtualReporter[],
  nowMs: number,
): void {
  [0, 1, 2].forEach((nth) => {
    const { quarantine } = reporters[nth * 7 % reporters.length]!;
    const server = toBackendId(`server-${nth}`);
    Array.from(
      { length: CALLS_BESIDE },
      (_, at) =>
        quarantine.recordEnd(
          createContent(`other ${nth} ${at}`),
          server,
          nowMs,
        ),
    );
    quarantine.recordEnd(BAD, server, nowMs);
  });
}

describe("reports of calls under which servers ended", () => {
  [3, LARGE_REGION].forEach((perRegion) =>
    describe(`with ${perRegion} instances a region`, () => {
      it("reach all instances of all regions within two seconds", async () => {
        const { clock, listRunning } = await startRegions(perRegion);
        endServers(listRunning(), clock.nowMs());
        await clock.advance(2_000);
        const knowing = listRunning().filter(({ quarantine }) =>
          quarantine.readHeldMs(BAD, clock.nowMs()) > 0
        );
        assert.equal(knowing.length, 3 * perRegion);
      });
    })
  );

  it("reach an instance that heard nothing for a while, once it is there again", async () => {
    const { all, clock, listRunning, network } = await startRegions(3);
    const cutOff = "west-001:1";
    network.passes = (from, to) => from !== cutOff && to !== cutOff;
    endServers(listRunning().slice(0, 3), clock.nowMs());
    await clock.advance(10_000);
    network.passes = () => true;
    await clock.advance(3_000);
    const { quarantine } = all.get(cutOff)!;
    assert.ok(quarantine.readHeldMs(BAD, clock.nowMs()) > 0);
  });

  it("reach a region by way of a third one, where it is cut off from that which saw them", async () => {
    const { clock, listRunning, network } = await startRegions(3);
    const isBetween = (from: string, to: string) =>
      from.startsWith("north") && to.startsWith("west");
    network.passes = (from, to) => !isBetween(from, to) && !isBetween(to, from);
    const running = listRunning();
    endServers(
      running.filter(({ address }) => address.startsWith("north")),
      clock.nowMs(),
    );
    await clock.advance(3_000);
    const knowing = running.filter(({ quarantine }) =>
      quarantine.readHeldMs(BAD, clock.nowMs()) > 0
    );
    assert.equal(knowing.length, running.length);
  });

  it("cost little while calls are refused", async () => {
    const { clock, counted, listRunning } = await startRegions(LARGE_REGION);
    const measure = async () => {
      const before = counted.bytes;
      await clock.advance(4_000);
      return (counted.bytes - before) / 4 / listRunning().length;
    };
    const withoutPerSecond = await measure();
    endServers(listRunning(), clock.nowMs());
    await clock.advance(4_000);
    const addedPerSecond = await measure() - withoutPerSecond;
    assert.ok(addedPerSecond < MAX_BYTES_PER_SECOND / 10);
  });
});
