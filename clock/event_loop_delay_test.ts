import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate as awaitCheckPhase } from "node:timers/promises";
import { VirtualEventLoop } from "../tests/virtual_event_loop.ts";
import { EventLoopDelay, type ProcessStall } from "./event_loop_delay.ts";

function start() {
  const loop = new VirtualEventLoop();
  const delay = new EventLoopDelay(loop);
  delay.start(new AbortController().signal);
  return { loop, delay };
}

describe("EventLoopDelay", () => {
  describe("when the event loop keeps up", () => {
    it("is 0, also between two checks", () => {
      const { loop, delay } = start();
      loop.block(52);
      loop.runDueTimers();
      loop.block(49);
      assert.equal(delay.readMs(), 0);
    });
  });

  describe("when an iteration takes long", () => {
    it("reports how long bytes read in it and in the next one may have waited", () => {
      const { loop, delay } = start();
      loop.block(700);
      assert.equal(delay.readMs(), 650);
      loop.runDueTimers();
      assert.equal(delay.readMs(), 650);
    });

    it("is 0 again after a quick iteration", () => {
      const { loop, delay } = start();
      loop.block(700);
      loop.runDueTimers();
      loop.block(2);
      loop.runDueTimers();
      assert.equal(delay.readMs(), 0);
    });

    it("checks in each iteration while the event loop is behind", () => {
      const { loop, delay } = start();
      const read = [300, 200, 100, 2].map((iterationMs) => {
        loop.block(iterationMs);
        loop.runDueTimers();
        return delay.readMs();
      });
      assert.deepEqual(read, [250, 199, 99, 0]);
    });
  });

  describe("after an iteration that took long", () => {
    const startBehind = () => {
      const { loop, delay } = start();
      loop.block(250);
      loop.runDueTimers();
      const runFor = (ms: number) => {
        for (let passedMs = 0; passedMs < ms; passedMs += 10) {
          loop.block(10);
          loop.runDueTimers();
        }
      };
      return { delay, runFor };
    };

    it("remembers its delay for one to two seconds", () => {
      const { delay, runFor } = startBehind();
      runFor(900);
      assert.equal(delay.readMs(), 0);
      assert.equal(delay.readPeakMs(), 200);
      runFor(1_200);
      assert.equal(delay.readPeakMs(), 0);
    });

    it("forgets it as soon if it is read meanwhile", () => {
      const { delay, runFor } = startBehind();
      runFor(1_700);
      delay.readPeakMs();
      runFor(300);
      assert.equal(delay.readPeakMs(), 0);
    });
  });

  describe("when the process stalls", () => {
    it("reports from when and for how long, once a stall", () => {
      const stalls: ProcessStall[] = [];
      const loop = new VirtualEventLoop();
      const onStall = (stall: ProcessStall) => stalls.push(stall);
      new EventLoopDelay(loop, { onStall }).start(new AbortController().signal);
      [50, 549, 1_500, 2, 800].forEach((iterationMs) => {
        loop.block(iterationMs);
        loop.runDueTimers();
      });
      assert.deepEqual(stalls, [
        { fromMs: 599, tookMs: 1_500 },
        { fromMs: 2_101, tookMs: 800 },
      ]);
    });
  });

  describe("after a stall", () => {
    it("is caught up some iterations later", async () => {
      const { loop, delay } = start();
      loop.block(900);
      loop.runDueTimers();
      let isCaughtUp = false;
      const caughtUp = delay.awaitCaughtUp().then(() => isCaughtUp = true);
      await awaitCheckPhase();
      assert.equal(isCaughtUp, false);
      await loop.runIterations(10);
      await caughtUp;
      await delay.awaitCaughtUp();
    });
  });

  describe("before it was started", () => {
    it("is 0", () => {
      assert.equal(new EventLoopDelay(new VirtualEventLoop()).readMs(), 0);
    });
  });
});
