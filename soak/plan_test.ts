import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { formatFault } from "./fault.ts";
import { createPlan, createQuietPlan, FAULT_FREE_END_MS } from "./plan.ts";

const SIZES = {
  seconds: 40,
  instances: 6,
  instancesPerRegion: 2,
  servers: 6,
};

describe("createPlan()", () => {
  it("returns the same plan for the same seed, and another one for another seed", () => {
    const format = (seed: number) =>
      createPlan({ ...SIZES, seed }).map(formatFault).join("\n");
    assert.equal(format(7), format(7));
    assert.notEqual(format(7), format(8));
  });

  // Guards against seeds of which none tries one kind of version or of servers.
  it("has rollouts of good and bad versions of both kinds of servers in some seeds, and none in others", () => {
    const kinds = Array.from(
      { length: 40 },
      (_, seed) =>
        createPlan({ ...SIZES, seed }).filter(({ fault }) =>
          fault.kind === "rollout"
        ).map(({ fault }) => Object.values(fault).join(" ")).join(),
    );
    assert.deepEqual([...new Set(kinds)].sort(), [
      "",
      "rollout bad engines",
      "rollout bad plain",
      "rollout good engines",
      "rollout good plain",
    ]);
  });

  it("has standstills of all servers, of a region and of most, beside each change", () => {
    const seeds = Array.from({ length: 20 }, (_, seed) => ({ ...SIZES, seed }));
    const quiet = seeds.map(createQuietPlan);
    const planned = [
      ...seeds.flatMap(createPlan),
      ...quiet.flatMap(({ standstills }) => standstills),
    ];
    const faults = planned.map(({ fault }) => fault)
      .filter((fault) => fault.kind === "standstill");
    const collect = (read: (fault: typeof faults[number]) => unknown) =>
      [...new Set(faults.map(read))].sort();
    assert.deepEqual(collect(({ slots }) => slots.length), [2, 4, 6]);
    assert.equal(collect(({ beside }) => beside).length, 9);
    assert.ok(quiet.some(({ hasFullServers }) => hasFullServers));
    assert.ok(quiet.some(({ hasFullServers }) => !hasFullServers));
    assert.ok(faults.some(({ offsetMs }) => offsetMs < -100));
    assert.ok(faults.some(({ offsetMs }) => offsetMs > 100));
    assert.ok(faults.every(({ stillMs }) => stillMs >= 1_000));
    assert.ok(faults.every(({ slots }) => slots.every((slot) => slot < 6)));
  });

  it("ends every fault before the fault-free time at the end, and uses only existing indexes", () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 1_000_000 }), (seed) => {
        createPlan({ ...SIZES, seed }).forEach(
          ({ atMs, fault, durationMs }) => {
            assert.ok(
              atMs + durationMs <= 1_000 * SIZES.seconds - FAULT_FREE_END_MS,
            );
            if ("index" in fault) assert.ok(fault.index < 6);
            if ("indices" in fault) {
              assert.ok(fault.indices.length > 0);
              assert.ok(fault.indices.length < SIZES.instances);
              assert.ok(fault.indices.every((index) => index < 6));
            }
          },
        );
      }),
      { seed: 20_261_202 },
    );
  });
});
