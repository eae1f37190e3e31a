import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SlowLoop } from "../tests/slow_loop.ts";
import { EventLoopDelay } from "./event_loop_delay.ts";

function start() {
  const loop = new SlowLoop();
  const delay = new EventLoopDelay(loop);
  delay.start(new AbortController().signal);
  return { loop, delay };
}

describe("LoopDelay", () => {
  describe("when the event loop keeps up", () => {
    it("is 0, also between two checks", () => {
      const { loop, delay } = start();
      loop.work(52);
      loop.turn();
      loop.work(49);
      assert.equal(delay.readMs(), 0);
    });
  });

  describe("when an iteration takes long", () => {
    it("reports how long bytes read in it and in the next one may have waited", () => {
      const { loop, delay } = start();
      loop.work(700);
      assert.equal(delay.readMs(), 650);
      loop.turn();
      assert.equal(delay.readMs(), 650);
    });

    it("is 0 again after a quick iteration", () => {
      const { loop, delay } = start();
      loop.work(700);
      loop.turn();
      loop.work(2);
      loop.turn();
      assert.equal(delay.readMs(), 0);
    });

    it("checks in each iteration while the event loop is behind", () => {
      const { loop, delay } = start();
      const read = [300, 200, 100, 2].map((iterationMs) => {
        loop.work(iterationMs);
        loop.turn();
        return delay.readMs();
      });
      assert.deepEqual(read, [250, 199, 99, 0]);
    });
  });

  describe("before it was started", () => {
    it("is 0", () => {
      assert.equal(new EventLoopDelay(new SlowLoop()).readMs(), 0);
    });
  });
});
