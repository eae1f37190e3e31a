import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  FleetRetryBudget,
  FleetRetryBudgets,
  type RetryPurpose,
} from "./fleet_retry_budget.ts";

const BOUNDS = { ratio: 0.2, slack: 58, windowMs: 10_000 };

describe("FleetRetryBudget", () => {
  describe("when several instances take all retries that they can", () => {
    it("keeps the sum of retries within the bound in any window", () => {
      const steps = fc.array(
        fc.record({
          pauseMs: fc.integer({ min: 0, max: 400 }),
          instance: fc.integer({ min: 0, max: 3 }),
          isCall: fc.boolean(),
        }),
        { maxLength: 600 },
      );
      fc.assert(fc.property(steps, (list) => {
        const budgets = Array.from(
          { length: 4 },
          () => new FleetRetryBudget(BOUNDS),
        );
        const calls: number[] = [];
        const repeats: number[] = [];
        let nowMs = 50_000;
        list.forEach(({ pauseMs, instance, isCall }) => {
          nowMs += pauseMs;
          const budget = budgets[instance]!;
          if (isCall) {
            budget.recordCall(nowMs);
            calls.push(nowMs);
          } else if (budget.take(nowMs, budgets.length)) repeats.push(nowMs);
        });
        repeats.forEach((endMs) => {
          const isInside = (atMs: number) =>
            atMs <= endMs && atMs > endMs - BOUNDS.windowMs;
          // The bound counts the calls of the window and of the one before it.
          const counted = calls.filter((atMs) =>
            atMs <= endMs && atMs > endMs - 2 * BOUNDS.windowMs
          ).length;
          const sent = repeats.filter(isInside).length;
          assert.ok(sent <= BOUNDS.ratio * counted + BOUNDS.slack);
        });
      }));
    });
  });

  it("allows retries again when the window has passed", () => {
    const budget = new FleetRetryBudget({
      ratio: 0,
      slack: 10,
      windowMs: 10_000,
    });
    const taken = Array.from({ length: 20 }, () => budget.take(1_000, 1));
    assert.equal(taken.filter((isTaken) => isTaken).length, 7);
    assert.equal(budget.take(6_000, 1), false);
    assert.equal(budget.take(12_000, 1), true);
  });

  // Handovers used up the budget, and calls that a full server refused were lost.
  it("leaves half of the retries to calls that are lost without one", () => {
    const budget = new FleetRetryBudget(BOUNDS);
    const takeAll = (purpose: RetryPurpose) =>
      Array.from({ length: 100 }, () => budget.take(1_000, 1, purpose))
        .filter((isTaken) => isTaken).length;
    assert.equal(takeAll("handover"), 20);
    assert.equal(takeAll("retry"), 20);
  });
});

describe("FleetRetryBudgets", () => {
  // Each reload of settings let a whole budget of retries through again.
  [
    { what: "unchanged bounds", changed: BOUNDS },
    { what: "another ratio", changed: { ...BOUNDS, ratio: 0.21 } },
    { what: "a longer window", changed: { ...BOUNDS, windowMs: 12_000 } },
    { what: "a shorter window", changed: { ...BOUNDS, windowMs: 8_000 } },
  ].forEach(({ changed, what }) => {
    it(`keep the counts of retries when settings with ${what} are applied`, () => {
      const budgets = new FleetRetryBudgets(BOUNDS);
      const takeAll = (nowMs: number) =>
        Array.from({ length: 100 }, () => budgets.take("app", nowMs, 1))
          .filter((isTaken) => isTaken).length;
      const allowed = takeAll(50_000);
      assert.ok(allowed > 0);
      [52_000, 54_000, 56_000].forEach((nowMs) => {
        budgets.setBounds(changed);
        assert.equal(takeAll(nowMs), 0);
      });
      assert.equal(takeAll(63_000), allowed);
    });
  });
});
