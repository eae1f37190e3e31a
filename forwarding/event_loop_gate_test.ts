import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setImmediate } from "node:timers/promises";
import { VirtualEventLoop } from "../tests/virtual_event_loop.ts";
import { EventLoopGate } from "./event_loop_gate.ts";

function start() {
  const loop = new VirtualEventLoop();
  const gate = new EventLoopGate(loop);
  const begun: number[] = [];
  const enter = (call: number) =>
    void gate.enter().then(() => begun.push(call));
  const runIteration = async () => {
    loop.block(1);
    loop.runDueTimers();
    await setImmediate();
  };
  return { gate, begun, enter, loop, runIteration };
}

describe("EventLoopGate", () => {
  it("admits the first call of an iteration at once", async () => {
    const { begun, enter } = start();
    enter(1);
    await setImmediate();
    assert.deepEqual(begun, [1]);
  });

  it("begins further calls in later iterations, in order", async () => {
    const { begun, enter, gate, runIteration } = start();
    [1, 2, 3].forEach(enter);
    await runIteration();
    assert.deepEqual(begun, [1, 2]);
    assert.ok(gate.waitMs > 0);
    enter(4);
    await runIteration();
    await runIteration();
    assert.deepEqual(begun, [1, 2, 3, 4]);
    assert.equal(gate.waitMs, 0);
  });

  it("refuses a call that would wait for too long", async () => {
    const { gate, enter } = start();
    Array.from({ length: 103 }, (_, call) => enter(call));
    assert.equal(await gate.enter(), false);
  });

  it("estimates the wait from the durations of recent iterations", async () => {
    const { gate, enter, loop, runIteration } = start();
    Array.from({ length: 60 }, (_, call) => enter(call));
    for (let iteration = 0; iteration < 30; iteration++) {
      loop.block(9);
      await runIteration();
    }
    assert.ok(gate.waitMs > 200, `waits ${gate.waitMs} ms`);
    assert.equal(await gate.enter(), false);
  });

  it("admits a call at once after an iteration in which none waited", async () => {
    const { begun, enter, runIteration } = start();
    enter(1);
    await runIteration();
    enter(2);
    await setImmediate();
    assert.deepEqual(begun, [1, 2]);
  });
});
