import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SlowLoop } from "../tests/slow_loop.ts";
import { LoopDelay } from "./loop_delay.ts";

function start() {
  const loop = new SlowLoop();
  const delay = new LoopDelay(loop);
  delay.start(new AbortController().signal);
  return { loop, delay };
}

describe("LoopDelay", () => {
  describe("when the loop keeps up", () => {
    it("is 0, also between two looks", () => {
      const { loop, delay } = start();
      loop.work(52);
      loop.turn();
      loop.work(49);
      assert.equal(delay.readMs(), 0);
    });
  });

  describe("when a turn takes long", () => {
    it("holds what was read in it, and in the next one, as waiting since then", () => {
      const { loop, delay } = start();
      loop.work(700);
      assert.equal(delay.readMs(), 650);
      loop.turn();
      assert.equal(delay.readMs(), 650);
    });

    it("is over after a turn that was quick", () => {
      const { loop, delay } = start();
      loop.work(700);
      loop.turn();
      loop.work(2);
      loop.turn();
      assert.equal(delay.readMs(), 0);
    });

    it("looks at each turn while it lasts", () => {
      const { loop, delay } = start();
      const read = [300, 200, 100, 2].map((turnMs) => {
        loop.work(turnMs);
        loop.turn();
        return delay.readMs();
      });
      assert.deepEqual(read, [250, 199, 99, 0]);
    });
  });

  describe("before it was started", () => {
    it("is 0", () => {
      assert.equal(new LoopDelay(new SlowLoop()).readMs(), 0);
    });
  });
});
