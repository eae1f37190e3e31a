import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Clock } from "./clock.ts";
import { LoopDelay } from "./loop_delay.ts";

/** A loop whose turns take as long as a test says; timers run between them. */
class SlowLoop implements Clock {
  #nowMs = 0;
  #timers: { readonly dueMs: number; readonly callback: () => void }[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, callback: () => void): void {
    this.#timers.push({ dueMs: this.#nowMs + delayMs, callback });
  }

  /** Works for a time, without running timers. */
  work(forMs: number): void {
    this.#nowMs += forMs;
  }

  /** Runs the timers that are due. */
  turn(): void {
    const due = this.#timers.filter(({ dueMs }) => dueMs <= this.#nowMs);
    this.#timers = this.#timers.filter((timer) => !due.includes(timer));
    due.forEach(({ callback }) => callback());
  }
}

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
      const told: number[] = [];
      delay.subscribe((delayMs) => told.push(delayMs));
      [300, 200, 100, 2].forEach((turnMs) => {
        loop.work(turnMs);
        loop.turn();
      });
      assert.deepEqual(told, [250, 199, 99, 0]);
    });
  });

  describe("before it was started", () => {
    it("is 0", () => {
      assert.equal(new LoopDelay(new SlowLoop()).readMs(), 0);
    });
  });
});
