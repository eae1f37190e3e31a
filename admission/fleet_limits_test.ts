import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../clock/mod.ts";
import { toRegionId, toTeamId } from "../ids/mod.ts";
import type { Team } from "../teams/mod.ts";
import { FleetLimits, type RegionTeamUsage } from "./fleet_limits.ts";

const NORTH = toRegionId("north");
const SOUTH = toRegionId("south");
const TEAM: Team = {
  id: toTeamId("roasters"),
  priority: undefined,
  homeRegions: undefined,
  limit: { unit: "tokens", perSecond: 100, burst: 100, plainTokens: 1 },
};
/** Units that rate and burst grant in one window. */
const BUDGET = 900;
const NOW_MS = 100_000;

function createLimits(
  { others = [], startedMs = 0 }: {
    readonly others?: readonly RegionTeamUsage[];
    readonly startedMs?: number;
  } = {},
): FleetLimits {
  const limits = new FleetLimits({
    ownRegion: NORTH,
    startedMs,
    random: createRandom(1),
    bounds: { windowMs: 8_000, overshoot: 0, slack: 0 },
    readUsageOfOthers: () => others,
  });
  limits.setInstanceCounts(
    [{ region: NORTH, known: 1, reporting: 1 }],
    1,
    NOW_MS,
  );
  return limits;
}

/** Admits calls of one weight at one time, and returns their total weight. */
function admitMany(
  limits: FleetLimits,
  weight: number,
  nowMs = NOW_MS,
  calls = 200,
): number {
  return Array.from({ length: calls })
    .filter(() => limits.admit(TEAM, weight, nowMs).kind === "admitted")
    .length * weight;
}

describe("FleetLimits", () => {
  it("admits what other instances have left of a window, and no more", () => {
    const used = 600;
    const others = [{ region: SOUTH, used, demand: 0 }];
    const limits = createLimits({ others });
    const admitted = admitMany(limits, 10);
    assert.ok(admitted > 0 && admitted <= BUDGET - used, `${admitted}`);
  });

  it("admits calls again after the window has moved on", () => {
    const limits = createLimits();
    admitMany(limits, 10);
    const laterMs = NOW_MS + 9_000;
    limits.setInstanceCounts(
      [{ region: NORTH, known: 1, reporting: 1 }],
      1,
      laterMs,
    );
    assert.ok(admitMany(limits, 10, laterMs) > 0);
  });

  // A team that one configuration left out had a whole window again with the next one.
  it("remembers the usage of a team that a configuration leaves out for a moment", () => {
    const limits = createLimits();
    const admitted = admitMany(limits, 10);
    limits.keepOnly(new Set(), NOW_MS);
    const again = admitMany(limits, 10);
    assert.ok(admitted + again <= BUDGET, `${admitted} and ${again}`);
  });

  it("refunds the weight of calls that did not run", () => {
    const limits = createLimits();
    const at = { admittedMs: NOW_MS, nowMs: NOW_MS };
    for (let call = 0; call < 100; call++) {
      assert.equal(limits.admit(TEAM, 450, NOW_MS).kind, "admitted");
      limits.refund(TEAM.id, 450, at);
    }
  });

  it("gives no retry time for a call that weighs more than the limit ever allows", () => {
    const verdict = createLimits().admit(TEAM, BUDGET + 1, NOW_MS);
    assert.equal(verdict.kind, "refused");
    assert.equal(
      verdict.kind === "refused" && verdict.retryAfterMs,
      undefined,
    );
  });

  it("jitters the retry times of refused calls", () => {
    const limits = createLimits();
    admitMany(limits, 10);
    const times = Array.from({ length: 50 }, () => {
      const verdict = limits.admit(TEAM, 10, NOW_MS);
      return verdict.kind === "refused" ? verdict.retryAfterMs : undefined;
    });
    assert.ok(new Set(times).size > 25);
  });

  it("assumes prior usage after a start, since other instances may have started too", () => {
    const limits = createLimits({ startedMs: NOW_MS });
    limits.setInstanceCounts(
      [{ region: NORTH, known: 10, reporting: 10 }],
      10,
      NOW_MS,
    );
    assert.ok(admitMany(limits, 1) <= BUDGET);
    const reported = limits.listOwnUsage(NOW_MS)[0]!;
    assert.ok(reported.used >= 0.9 * BUDGET / 10);
  });

  it("admits only its equal share while the counts of instances are outdated", () => {
    const limits = createLimits();
    limits.setInstanceCounts(
      [{ region: NORTH, known: 10, reporting: 10 }],
      10,
      NOW_MS,
    );
    assert.ok(admitMany(limits, 1, NOW_MS + 5_000) <= BUDGET / 10);
  });

  it("admits the fraction of its own region when no reports of other regions arrive", () => {
    const limits = createLimits({
      others: [{ region: SOUTH, used: 10, demand: 300 }],
    });
    const count = (reporting: number) =>
      limits.setInstanceCounts(
        [
          { region: NORTH, known: 1, reporting: 1 },
          { region: SOUTH, known: 1, reporting },
        ],
        2,
        NOW_MS,
      );
    count(1);
    limits.admit(TEAM, 100, NOW_MS);
    count(0);
    const admitted = admitMany(limits, 1);
    assert.ok(admitted < BUDGET / 2, `${admitted}`);
  });

  it("does not report a team that is far below its limit", () => {
    const limits = createLimits();
    limits.admit(TEAM, 10, NOW_MS);
    assert.deepEqual(limits.listOwnUsage(NOW_MS), []);
    limits.admit(TEAM, 100, NOW_MS);
    assert.equal(limits.listOwnUsage(NOW_MS).length, 1);
  });
});
