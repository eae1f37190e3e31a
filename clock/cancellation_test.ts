import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { systemClock } from "../adapters/system_clock.ts";
import { Cancellation } from "./cancellation.ts";
import { type Clock, scheduleAfterReading } from "./clock.ts";
import { VirtualClock } from "./virtual_clock.ts";

describe("Cancellation", () => {
  it("cancels timers on the virtual clock, also in their second iteration", async () => {
    const clock = new VirtualClock();
    const cancellation = new Cancellation();
    let runs = 0;
    clock.schedule(10, () => runs++, cancellation);
    scheduleAfterReading(clock, 5, () => runs++, cancellation);
    clock.schedule(5, () => cancellation.cancel());
    await clock.advance(50);
    assert.equal(runs, 0);
    clock.schedule(1, () => runs++, cancellation);
    await clock.advance(50);
    assert.equal(runs, 0);
  });

  it("cancels timers on the system's clock, and leaves those that ran", async () => {
    const cancellation = new Cancellation();
    const ran: string[] = [];
    const wait = (clock: Clock, delayMs: number) =>
      new Promise<void>((resolve) => clock.schedule(delayMs, resolve));
    systemClock.schedule(1, () => ran.push("early"), cancellation);
    systemClock.schedule(40, () => ran.push("late"), cancellation);
    await wait(systemClock, 20);
    cancellation.cancel();
    cancellation.cancel();
    await wait(systemClock, 60);
    assert.deepEqual(ran, ["early"]);
  });

  it("calls no function that was removed", () => {
    const cancellation = new Cancellation();
    const called: string[] = [];
    const removed = () => called.push("removed");
    cancellation.addEventListener("abort", removed);
    cancellation.addEventListener("abort", () => called.push("kept"));
    cancellation.removeEventListener("abort", removed);
    cancellation.cancel();
    assert.deepEqual(called, ["kept"]);
  });
});
