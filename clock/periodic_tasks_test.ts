import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualEventLoop } from "../tests/virtual_event_loop.ts";
import { EventLoopDelay } from "./event_loop_delay.ts";
import { PeriodicTasks } from "./periodic_tasks.ts";

/** Runs an event loop whose timers are late by a fixed time, and returns when tasks ran. */
function play(
  intervals: readonly number[],
  { forMs, lateMs, onWake }: {
    readonly forMs: number;
    readonly lateMs: number;
    readonly onWake?: (nowMs: number) => void;
  },
): { readonly runsMs: number[][]; readonly loop: VirtualEventLoop } {
  const loop = new VirtualEventLoop();
  const tasks = new PeriodicTasks(loop);
  const runsMs = intervals.map((): number[] => []);
  intervals.forEach((intervalMs, at) =>
    tasks.add(intervalMs, () => runsMs[at]!.push(loop.nowMs()))
  );
  let dueMs = Infinity;
  const watched = {
    nowMs: () => loop.nowMs(),
    elapsedMs: () => loop.elapsedMs(),
    schedule: (delayMs: number, callback: () => void) => {
      dueMs = loop.nowMs() + delayMs;
      loop.schedule(delayMs, callback);
    },
  };
  const started = new EventLoopDelay(watched, tasks);
  started.start(new AbortController().signal);
  while (loop.nowMs() < forMs) {
    loop.block(Math.max(0, dueMs - loop.nowMs()) + lateMs);
    onWake?.(loop.nowMs());
    loop.runDueTimers();
  }
  return { runsMs, loop };
}

describe("PeriodicTasks", () => {
  describe("when timers are a little late", () => {
    it("keep their intervals on average, so that reported data gets no older", () => {
      const { runsMs: [rounds] } = play([150], { forMs: 15_000, lateMs: 0.7 });
      assert.equal(rounds!.length, 100);
      const gaps = rounds!.map((ms, at) => ms - (rounds![at - 1] ?? 0));
      assert.ok(Math.max(...gaps) < 156, `${Math.max(...gaps)}`);
    });

    it("share wake-ups with the checks of the event loop", () => {
      const wakes: number[] = [];
      play([150, 250, 500], {
        forMs: 10_000,
        lateMs: 0.7,
        onWake: (nowMs) => wakes.push(nowMs),
      });
      // Checks alone wake the process 200 times in 10 s.
      assert.ok(wakes.length <= 210, `${wakes.length}`);
    });
  });

  describe("after a stall", () => {
    it("run once, and not once per missed interval", () => {
      const loop = new VirtualEventLoop();
      const tasks = new PeriodicTasks(loop);
      let runs = 0;
      tasks.add(150, () => runs++);
      loop.block(2_000);
      tasks.runDue(loop.nowMs());
      tasks.runDue(loop.nowMs());
      assert.equal(runs, 1);
      assert.equal(tasks.readDelayMs(loop.nowMs()), 150);
    });
  });

  describe("without tasks", () => {
    it("are never due", () => {
      const tasks = new PeriodicTasks(new VirtualEventLoop());
      assert.equal(tasks.readDelayMs(0), Infinity);
    });
  });
});
