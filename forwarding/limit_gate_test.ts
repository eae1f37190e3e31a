import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../clock/mod.ts";
import { type InstanceId, toBackendId } from "../ids/mod.ts";
import {
  countMaxSends,
  createFleetStub,
  listKnownMembers,
  toMemberId,
} from "../tests/fleet_stub_fixture.ts";
import { LimitGate } from "./limit_gate.ts";
import { ServerLimits } from "./server_limits.ts";

const SERVER = toBackendId("s1");
const WINDOW_MS = 4_000;

/** Creates a gate whose members and limit can be changed. */
function createGate(
  self: InstanceId,
  known: readonly InstanceId[],
  perSecond: number,
) {
  const fleet = createFleetStub(self, known);
  const limits = new ServerLimits();
  const name = (limit: number | undefined, atMs: number) =>
    limits.recordAdvertised(SERVER, { perSecond: limit, sentMs: atMs }, atMs);
  name(perSecond, 0);
  return { gate: new LimitGate({ fleet, limits }), fleet, name };
}

/** Plays arrivals of calls at instances, and returns the times at which calls were sent. */
function play(
  gates: readonly LimitGate[],
  arrivals: readonly { readonly atMs: number; readonly instance: number }[],
): readonly number[] {
  return arrivals.flatMap(({ atMs, instance }) => {
    const gate = gates[instance % gates.length]!;
    if (!gate.isOpen(SERVER, atMs)) return [];
    gate.record(SERVER, atMs);
    return [atMs];
  });
}

function countTolerated(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
}

/** Creates arrivals over ten seconds, with a burst in the middle at every instance. */
function createArrivals(instances: number, seed: number) {
  const random = createRandom(seed);
  const burst = Array.from({ length: 8 * instances }, (_, at) => ({
    atMs: 6_000,
    instance: at,
  }));
  const steady = Array.from({ length: 2_000 }, (_, index) => ({
    atMs: 1_000 + index * 5,
    instance: Math.floor(random.nextFloat() * instances),
  }));
  return [...burst, ...steady].sort((a, b) => a.atMs - b.atMs);
}

describe("LimitGate", () => {
  describe("when 1 to 60 instances have calls for one server", () => {
    it("keeps the sum of calls within what the server tolerates, even if some do not know one member", () => {
      const inputs = fc.record({
        perSecond: fc.double({ min: 0, max: 60, noNaN: true }),
        instances: fc.integer({ min: 1, max: 60 }),
        unknown: fc.integer({ min: 0, max: 59 }),
        seed: fc.integer(),
      });
      fc.assert(
        fc.property(inputs, ({ instances, perSecond, seed, unknown }) => {
          const all = Array.from(
            { length: instances },
            (_, at) => toMemberId(at),
          );
          const gates = all.map((self, index) => {
            const known = listKnownMembers(all, index, unknown);
            return createGate(self, known, perSecond).gate;
          });
          const sentMs = play(gates, createArrivals(instances, seed));
          assert.ok(
            countMaxSends(sentMs, WINDOW_MS) <= countTolerated(perSecond),
          );
        }),
        { numRuns: 200, seed: 20_261_203 },
      );
    });

    it("uses at least three quarters of the limit when there are enough calls", () => {
      [[1, 0.5], [1, 20], [2, 20], [3, 2.6], [3, 30], [12, 0.8], [40, 5]]
        .forEach(([instances, perSecond]) => {
          const all = Array.from(
            { length: instances! },
            (_, at) => toMemberId(at),
          );
          const gates = all.map((self) =>
            createGate(self, all, perSecond!).gate
          );
          const arrivals = Array.from({ length: 80_000 }, (_, index) => ({
            atMs: 1_000 + index / 4,
            instance: index,
          }));
          const sentMs = play(gates, arrivals);
          assert.ok(sentMs.length >= 0.75 * perSecond! * 20);
          assert.ok(
            sentMs.length <= perSecond! * 20 + countTolerated(perSecond!),
          );
        });
    });
  });

  it("admits a call now and then at a limit of 0, so that an answer can report its end", () => {
    const { gate } = createGate(toMemberId(0), [toMemberId(0)], 0);
    const arrivals = Array.from({ length: 600 }, (_, at) => ({
      atMs: 1_000 + 100 * at,
      instance: 0,
    }));
    const sentMs = play([gate], arrivals);
    assert.ok(sentMs.length >= 5 && sentMs.length <= 8);
  });

  it("is closed until the members of the region are known", () => {
    const { fleet, gate } = createGate(toMemberId(0), [toMemberId(0)], 10);
    fleet.isSettledNow = false;
    assert.equal(gate.isOpen(SERVER, 1_000), false);
    fleet.isSettledNow = true;
    assert.equal(gate.isOpen(SERVER, 1_000), true);
  });

  it("computes the share again when the members change", () => {
    const { fleet, gate } = createGate(toMemberId(0), [toMemberId(0)], 0.2);
    assert.equal(gate.isOpen(SERVER, 1_000), true);
    fleet.known = Array.from({ length: 200 }, (_, at) => toMemberId(at));
    fleet.membershipVersion++;
    assert.equal(gate.isOpen(SERVER, 1_000), false);
  });

  it("does not carry unused calls of a high limit over to a lower one", () => {
    const { gate, name } = createGate(
      toMemberId(0),
      [toMemberId(0)],
      40,
    );
    gate.isOpen(SERVER, 0);
    name(1, 10_000);
    const burst = Array.from({ length: 100 }, () => ({
      atMs: 10_001,
      instance: 0,
    }));
    assert.ok(play([gate], burst).length <= countTolerated(1) / 2);
  });

  it("is open for a server that no longer advertises a limit", () => {
    const { gate, name } = createGate(
      toMemberId(0),
      [toMemberId(0)],
      0.2,
    );
    gate.record(SERVER, 1_000);
    assert.equal(gate.isOpen(SERVER, 1_000), false);
    name(undefined, 1_001);
    assert.equal(gate.readOpensAtMs(SERVER, 1_002), 0);
  });
});
