import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import type { CallContent } from "../quarantine/mod.ts";
import { createContent } from "./content_fixture.ts";
import { startReporters, type VirtualReporter } from "./reporter_fixture.ts";

/** Instances of a region in the largest deployment. */
const LARGE_REGION_INSTANCES = 65;
/** Other calls that a server had from one instance when it crashed. */
const OTHER_CALLS = 20;
/** Maximum bytes a second that an instance may send in its reports. */
const MAX_BYTES_PER_SECOND = 2_048;

const CRASHING_CONTENT = createContent("bad");

async function startRegions(perRegion: number) {
  const fleet = startReporters({
    perRegion,
    regions: ["north", "south", "west"],
  });
  await fleet.clock.advance(6_000);
  return fleet;
}

/** Records the crashes of three servers, each at another instance, under the same call and under others. */
function recordCrashes(
  reporters: readonly VirtualReporter[],
  nowMs: number,
): void {
  [0, 1, 2].forEach((index) => {
    const { quarantine } = reporters[index * 7 % reporters.length]!;
    const server = toBackendId(`server-${index}`);
    Array.from(
      { length: OTHER_CALLS },
      (_, at) =>
        quarantine.recordCrash(
          createContent(`other ${index} ${at}`),
          server,
          nowMs,
        ),
    );
    quarantine.recordCrash(CRASHING_CONTENT, server, nowMs);
  });
}

describe("reports of calls that crash servers", () => {
  [3, LARGE_REGION_INSTANCES].forEach((perRegion) =>
    describe(`with ${perRegion} instances a region`, () => {
      it("reach all instances of all regions within two seconds", async () => {
        const { clock, listRunning } = await startRegions(perRegion);
        recordCrashes(listRunning(), clock.nowMs());
        await clock.advance(2_000);
        const informed = listRunning().filter(({ quarantine }) =>
          quarantine.readRemainingQuarantineMs(
            CRASHING_CONTENT,
            clock.nowMs(),
          ) > 0
        );
        assert.equal(informed.length, 3 * perRegion);
      });
    })
  );

  it("of a prompt part reach all instances though each crashed server had hundreds of other parts", async () => {
    const { clock, listRunning } = await startRegions(3);
    const reporters = listRunning();
    const toCall = (name: string, parts: readonly string[]) =>
      createContent(name, { model: "m", parts });
    const recordCrash = (index: number) => {
      const { quarantine } = reporters[index % 2]!;
      const server = toBackendId(`server-${index}`);
      const record = (content: CallContent) =>
        quarantine.recordCrash(content, server, clock.nowMs());
      record(toCall(`bad ${index}`, ["first", "bad", `${index}`]));
      Array.from({ length: 64 }, (_, call) => {
        const parts = Array.from(
          { length: 20 },
          (_, part) => `${index} ${call} ${part}`,
        );
        record(toCall(`other ${index} ${call}`, parts));
      });
    };
    for (let index = 0; index < 4; index++) {
      recordCrash(index);
      await clock.advance(400);
    }
    await clock.advance(2_000);
    const call = toCall("bad again", ["first", "bad", "again"]);
    const informed = reporters.filter(({ quarantine }) =>
      quarantine.readRemainingQuarantineMs(call, clock.nowMs()) > 0
    );
    assert.equal(informed.length, reporters.length);
  });

  it("reach an instance that was cut off for a while, once it is connected again", async () => {
    const { all, clock, listRunning, network } = await startRegions(3);
    const cutOff = "west-001:1";
    network.passes = (from, to) => from !== cutOff && to !== cutOff;
    recordCrashes(listRunning().slice(0, 3), clock.nowMs());
    await clock.advance(10_000);
    network.passes = () => true;
    await clock.advance(3_000);
    const { quarantine } = all.get(cutOff)!;
    assert.ok(
      quarantine.readRemainingQuarantineMs(CRASHING_CONTENT, clock.nowMs()) > 0,
    );
  });

  it("reach a region through a third one, when it is cut off from the region of the crashes", async () => {
    const { clock, listRunning, network } = await startRegions(3);
    const isBetween = (from: string, to: string) =>
      from.startsWith("north") && to.startsWith("west");
    network.passes = (from, to) => !isBetween(from, to) && !isBetween(to, from);
    const running = listRunning();
    recordCrashes(
      running.filter(({ address }) => address.startsWith("north")),
      clock.nowMs(),
    );
    await clock.advance(3_000);
    const informed = running.filter(({ quarantine }) =>
      quarantine.readRemainingQuarantineMs(CRASHING_CONTENT, clock.nowMs()) > 0
    );
    assert.equal(informed.length, running.length);
  });

  it("add few bytes while a call is quarantined", async () => {
    const { clock, counted, listRunning } = await startRegions(
      LARGE_REGION_INSTANCES,
    );
    const measure = async () => {
      const before = counted.bytes;
      await clock.advance(4_000);
      return (counted.bytes - before) / 4 / listRunning().length;
    };
    const withoutPerSecond = await measure();
    recordCrashes(listRunning(), clock.nowMs());
    await clock.advance(4_000);
    const addedPerSecond = await measure() - withoutPerSecond;
    assert.ok(addedPerSecond < MAX_BYTES_PER_SECOND / 10);
  });
});
