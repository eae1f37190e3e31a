import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { toBackendId } from "../ids/mod.ts";
import { WarmUpGate } from "./warm_up_gate.ts";

const SERVER = toBackendId("s1");

describe("WarmUpGate", () => {
  it("keeps the sum of all instances inside the rate and one call each", () => {
    const inputs = fc.record({
      callsPerSecond: fc.integer({ min: 2, max: 40 }),
      instances: fc.integer({ min: 1, max: 12 }),
      pausesMs: fc.array(fc.integer({ min: 0, max: 30 }), { maxLength: 500 }),
    });
    fc.assert(fc.property(inputs, ({ callsPerSecond, instances, pausesMs }) => {
      const gates = Array.from({ length: instances }, () => new WarmUpGate());
      const sentMs: number[] = [];
      let nowMs = 1_000;
      pausesMs.forEach((pauseMs) => {
        nowMs += pauseMs;
        gates.filter((gate) => gate.isOpen(SERVER, nowMs)).forEach((gate) => {
          gate.record(SERVER, { callsPerSecond, instances }, nowMs);
          sentMs.push(nowMs);
        });
      });
      sentMs.forEach((endMs) => {
        const count = sentMs.filter((atMs) =>
          atMs <= endMs && atMs > endMs - 1_000
        )
          .length;
        assert.ok(count <= callsPerSecond + instances);
      });
    }));
  });
});
