import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../clock/mod.ts";
import { BOUNDS } from "../tests/rollout_fixture.ts";
import { drawOffset, ExposureBudget } from "./exposure_budget.ts";

/** Sends of one incarnation of an instance; each instance may restart. */
const SENDS = fc.array(
  fc.record({
    sends: fc.integer({ min: 0, max: 60 }),
    restartSends: fc.array(fc.integer({ min: 0, max: 30 }), { maxLength: 3 }),
  }),
  { minLength: 1, maxLength: 300 },
);

/** Begins sends that all want the canary, and returns how many it got. */
function spend(budget: ExposureBudget, sends: number): number {
  for (let index = 0; index < sends; index++) budget.count(budget.canSpend());
  return budget.counts.canarySends;
}

describe("ExposureBudget", () => {
  // Guards against a budget that is renewed by restarts or that needs messages to hold.
  it("keeps the sum over instances and their restarts to share and slack", () => {
    fc.assert(
      fc.property(SENDS, fc.integer(), (instances, seed) => {
        const random = createRandom(seed);
        let sends = 0;
        let canarySends = 0;
        const run = (count: number, ranBefore: boolean) => {
          const instanceCount = instances.length;
          const offset = drawOffset({
            bounds: BOUNDS,
            instanceCount,
            ranBefore,
            random,
          });
          sends += count;
          canarySends += spend(new ExposureBudget(BOUNDS, offset), count);
        };
        instances.forEach(({ restartSends, sends: count }) => {
          run(count, true);
          restartSends.forEach((each) => run(each, false));
        });
        const bound = BOUNDS.exposureShare * sends + BOUNDS.exposureSlack;
        assert.ok(canarySends <= bound, `${canarySends} over ${bound}`);
      }),
      { numRuns: 300 },
    );
  });

  // Guards against 300 instances that each round their share down to nothing.
  it("gives a fleet of 300 its share although each instance sends few calls", () => {
    const random = createRandom(5);
    const total = Array.from({ length: 300 }, () => {
      const offset = drawOffset({
        bounds: BOUNDS,
        instanceCount: 300,
        ranBefore: true,
        random,
      });
      return spend(new ExposureBudget(BOUNDS, offset), 8);
    }).reduce((sum, count) => sum + count, 0);
    assert.ok(total > 0.06 * 2_400, `${total}`);
    assert.ok(total < 0.1 * 2_400 + 25, `${total}`);
  });
});
