import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../clock/mod.ts";
import { type InstanceId, toBackendId } from "../ids/mod.ts";
import { WarmUpGate } from "./warm_up_gate.ts";
import {
  countMaxSends,
  createFleetStub,
  listKnownMembers,
  toMemberId,
} from "../tests/fleet_stub_fixture.ts";

const SERVER = toBackendId("s1");
const BOUNDS = { overshoot: 1.5, slack: 3 };

/** Creates a gate whose members can be changed. */
function createGate(self: InstanceId, known: readonly InstanceId[]) {
  const fleet = createFleetStub(self, known);
  return { gate: new WarmUpGate({ fleet, bounds: BOUNDS }), fleet };
}

/** Plays arrivals of calls at instances, and returns the times at which calls were sent. */
function play(
  gates: readonly WarmUpGate[],
  arrivals: readonly { readonly atMs: number; readonly instance: number }[],
  callsPerSecond: number,
): readonly number[] {
  return arrivals.flatMap(({ atMs, instance }) => {
    const gate = gates[instance % gates.length]!;
    if (!gate.isOpen(SERVER, callsPerSecond, atMs)) return [];
    gate.record(SERVER, callsPerSecond, atMs);
    return [atMs];
  });
}

const INPUTS = fc.record({
  callsPerSecond: fc.double({ min: 0.3, max: 40, noNaN: true }),
  instances: fc.integer({ min: 1, max: 200 }),
  unknown: fc.integer({ min: 0, max: 199 }),
  seed: fc.integer(),
});

/** Creates arrivals over three seconds, with a burst at the start at every instance. */
function createArrivals(instances: number, seed: number) {
  const random = createRandom(seed);
  const burst = Array.from({ length: instances }, (_, instance) => ({
    atMs: 1_000,
    instance,
  }));
  const steady = Array.from({ length: 600 }, (_, index) => ({
    atMs: 1_000 + index * 5,
    instance: Math.floor(random.nextFloat() * instances),
  }));
  return [...burst, ...steady];
}

describe("WarmUpGate", () => {
  describe("when 1 to 200 instances have calls for one cold server", () => {
    it("keeps the sum of calls within the bound, even if some do not know one member", () => {
      fc.assert(
        fc.property(INPUTS, ({ callsPerSecond, instances, unknown, seed }) => {
          const all = Array.from(
            { length: instances },
            (_, at) => toMemberId(at),
          );
          const gates = all.map((self, index) => {
            const known = listKnownMembers(all, index, unknown);
            return createGate(self, known).gate;
          });
          const sentMs = play(
            gates,
            createArrivals(instances, seed),
            callsPerSecond,
          );
          const bound = BOUNDS.overshoot * callsPerSecond + BOUNDS.slack;
          assert.ok(countMaxSends(sentMs, 1_000) <= bound);
        }),
        { numRuns: 300, seed: 20_261_202 },
      );
    });

    it("admits at least two thirds of the declared rate when there are enough calls", () => {
      [[1, 2.4], [3, 9.7], [20, 2.4], [20, 5.4], [60, 8]].forEach(
        ([instances, callsPerSecond]) => {
          const all = Array.from(
            { length: instances! },
            (_, at) => toMemberId(at),
          );
          const gates = all.map((self) => createGate(self, all).gate);
          const arrivals = Array.from({ length: 40_000 }, (_, index) => ({
            atMs: 1_000 + index / 4,
            instance: index,
          }));
          const sentMs = play(gates, arrivals, callsPerSecond!);
          assert.ok(sentMs.length >= 10 * callsPerSecond! * 2 / 3);
        },
      );
    });
  });

  it("is closed until the members of the region are known", () => {
    const { gate, fleet } = createGate(toMemberId(0), [toMemberId(0)]);
    fleet.isSettledNow = false;
    assert.equal(gate.isOpen(SERVER, 10, 1_000), false);
    fleet.isSettledNow = true;
    assert.equal(gate.isOpen(SERVER, 10, 1_000), true);
  });

  // A lower rate of a new configuration had no effect until an instance came or left.
  it("computes the share again when a configuration changes the rate", () => {
    const { gate } = createGate(toMemberId(0), [toMemberId(0)]);
    gate.record(SERVER, 40, 1_000);
    const changedMs = 2_000;
    const arrivals = Array.from({ length: 1_000 }, (_, index) => ({
      atMs: changedMs + index,
      instance: 0,
    }));
    const sentMs = play([gate], arrivals, 2.4);
    const bound = BOUNDS.overshoot * 2.4 + BOUNDS.slack;
    assert.ok(sentMs.length <= bound, `${sentMs.length} calls`);
  });

  it("computes the share again when the members change", () => {
    const { gate, fleet } = createGate(toMemberId(0), [toMemberId(0)]);
    assert.equal(gate.isOpen(SERVER, 2.4, 1_000), true);
    fleet.known = Array.from({ length: 200 }, (_, at) => toMemberId(at));
    fleet.membershipVersion++;
    assert.equal(gate.isOpen(SERVER, 2.4, 1_000), false);
  });
});
