import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  BOUNDS,
  createOrder,
  createServers,
  V1,
  V2,
  V3,
} from "../tests/rollout_fixture.ts";
import { toRegionId } from "../ids/mod.ts";
import {
  isFinal,
  isLaterRecord,
  isSameOrder,
  rankPhase,
} from "./compare_records.ts";
import {
  computeRampShare,
  computeRampStageMs,
  type PlanInput,
  planRecord,
  RAMP_SHARES,
} from "./plan_record.ts";
import type { RolloutPhase, RolloutRecord } from "./rollout_types.ts";

const START_MS = 1_000;
const RECORD: RolloutRecord = { service: "app", inForce: [V1] };
const PHASES: readonly RolloutPhase[] = [
  "trial",
  "ramp",
  "switch",
  "completed",
  "rolled-back",
];

function inPhase(phase: RolloutPhase): RolloutRecord {
  const { destination, durationMs, id } = createOrder();
  const times = { startedMs: START_MS, phaseSinceMs: START_MS };
  const order = { id, destination, durationMs, phase, ...times };
  return { ...RECORD, inForce: phase === "completed" ? [V2] : [V1], order };
}

function plan(changes: Partial<PlanInput>): RolloutRecord | undefined {
  return planRecord({
    record: inPhase("trial"),
    order: createOrder(),
    servers: [...createServers(V1), ...createServers(V2)],
    verdict: { isCovered: true, isSuspicious: false, suspects: [] },
    badReason: undefined,
    isSettled: true,
    needsOwnServers: () => false,
    areActiveGone: false,
    bounds: BOUNDS,
    nowMs: START_MS + 7_000,
    ...changes,
  });
}

function phaseOf(changes: Partial<PlanInput>): string | undefined {
  const order = plan(changes)?.order;
  return order && [order.phase, order.reason].filter(Boolean).join(" ");
}

const EARLY = { nowMs: START_MS + 5_000 };
const LATE = { nowMs: START_MS + 12_000 };
const VERDICT = { isCovered: true, isSuspicious: false, suspects: [] };

describe("planRecord()", () => {
  // A wrong outcome harms callers or the operator; the cases are those of the design note's tables.
  const cases: readonly (readonly [
    string,
    Partial<PlanInput>,
    string | undefined,
  ])[] = [
    ["a new order", { record: RECORD }, "trial"],
    ["a trial before its end", EARLY, undefined],
    ["a good trial", {}, "ramp"],
    ["no evidence", { verdict: { ...VERDICT, isCovered: false } }, undefined],
    ["a suspicion", { verdict: { ...VERDICT, isSuspicious: true } }, undefined],
    [
      "no evidence at the deadline",
      { ...LATE, verdict: { ...VERDICT, isCovered: false } },
      "rolled-back time-limit",
    ],
    ["a bad version", { ...EARLY, badReason: "bad" }, "rolled-back bad"],
    [
      "an order that was removed",
      { order: undefined },
      "rolled-back withdrawn",
    ],
    [
      "an order removed during the switch",
      { order: undefined, record: inPhase("switch") },
      "rolled-back withdrawn",
    ],
    [
      "no server of the destination",
      { ...LATE, servers: createServers(V1) },
      "rolled-back no-servers",
    ],
    [
      "cold servers",
      {
        servers: [
          ...createServers(V1),
          ...createServers(V2).map((each) => ({ ...each, coldUntilMs: 9e9 })),
        ],
      },
      undefined,
    ],
    [
      "too few servers",
      { ...LATE, servers: [...createServers(V1), ...createServers(V2, 1)] },
      "rolled-back too-few-servers",
    ],
    [
      "a region without servers to which calls are bound",
      {
        ...LATE,
        needsOwnServers: () => true,
        servers: [
          ...createServers(V1),
          ...createServers(V1, 1, toRegionId("south")),
          ...createServers(V2),
        ],
      },
      "rolled-back no-servers-in-region",
    ],
    ["a ramp", { ...EARLY, record: inPhase("ramp") }, "switch"],
    [
      "a bad version in the ramp",
      { ...EARLY, record: inPhase("ramp"), badReason: "bad" },
      "rolled-back bad",
    ],
    ["a settled switch", { record: inPhase("switch") }, "completed"],
    [
      "calls at old servers past the deadline",
      { ...LATE, record: inPhase("switch"), isSettled: false },
      undefined,
    ],
    [
      "a bad version after completion",
      { record: inPhase("completed"), badReason: "bad" },
      undefined,
    ],
    [
      "the same order after its rollback",
      { record: inPhase("rolled-back") },
      undefined,
    ],
    [
      "a second order for a version that was rolled back",
      { record: inPhase("rolled-back"), order: createOrder(11) },
      "trial",
    ],
    [
      "a second order for a version in trial",
      { order: createOrder(11) },
      "trial",
    ],
    [
      "an order for the active version",
      { record: inPhase("completed"), order: createOrder(11) },
      "completed",
    ],
    ["an older order", { order: createOrder(9, V3) }, undefined],
  ];
  for (const [name, changes, expected] of cases) {
    it(`decides on ${name}: ${expected ?? "nothing"}`, () => {
      const actual = phaseOf(changes);
      const unchanged = plan(changes) === undefined;
      assert.equal(unchanged ? undefined : actual, expected);
    });
  }

  // Guards against the version of a replaced order that becomes active without one.
  it("counts the destination of a replaced order as rolled back", () => {
    const record = plan({ order: createOrder(11, V3) });
    assert.deepEqual(record?.rejected, [V2]);
    assert.equal(record?.order?.destination, V3);
  });

  // Guards against a service without servers after the operator replaced them.
  it("takes over registered versions once the active ones are gone, without rejected ones", () => {
    const gone = { areActiveGone: true, order: undefined };
    const record = { ...RECORD, rejected: [V2] };
    const servers = [...createServers(V2), ...createServers(V3)];
    assert.deepEqual(plan({ ...gone, record, servers })?.inForce, [V3]);
    const rejected = { ...gone, record, servers: createServers(V2) };
    assert.equal(plan(rejected), undefined);
  });

  // Guards against decisions that are taken back or taken twice.
  it("never leaves a final phase of the same order, and never goes back", () => {
    fc.assert(
      fc.property(
        fc.constantFrom(...PHASES),
        fc.record({
          badReason: fc.constantFrom(undefined, "bad"),
          isSettled: fc.boolean(),
          order: fc.constantFrom(undefined, createOrder()),
          areActiveGone: fc.boolean(),
          nowMs: fc.integer({ min: START_MS, max: START_MS + 20_000 }),
        }),
        (phase, changes) => {
          const next = plan({ ...changes, record: inPhase(phase) });
          if (next?.order === undefined) return;
          assert.ok(rankPhase(next.order.phase) >= rankPhase(phase));
          if (isFinal(phase)) assert.equal(next.order.phase, phase);
        },
      ),
    );
  });

  // Guards against a ramp that alone uses up the exposure of a short order.
  it("keeps trial and ramp to the exposure for every duration and end of the trial", () => {
    fc.assert(fc.property(
      fc.integer({ min: 4_000, max: 120_000 }),
      fc.double({ min: 0, max: 0.9, noNaN: true }),
      (durationMs, part) => {
        const trialMs = Math.max(durationMs / 2, part * durationMs);
        const { id } = createOrder();
        const stageMs = computeRampStageMs(BOUNDS, {
          id,
          destination: V2,
          durationMs,
          startedMs: 0,
          phaseSinceMs: trialMs,
          phase: "ramp",
        });
        const used = 0.08 * trialMs +
          (RAMP_SHARES[0] + RAMP_SHARES[1]) * stageMs;
        assert.ok(used <= 0.1 * durationMs + 1e-6, `${used}`);
      },
    ));
  });
});

describe("computeRampShare()", () => {
  // Guards against a ramp that exceeds the exposure because a store that is down cannot
  // record its end (requirement 2).
  it("keeps trial and ramp to the exposure however late the ramp ends", () => {
    const { id } = createOrder();
    for (const durationMs of [4_000, 12_000, 60_000]) {
      const trialMs = Math.max(durationMs / 2, durationMs - 6_000);
      const progress = {
        id,
        destination: V2,
        durationMs,
        startedMs: 0,
        phaseSinceMs: trialMs,
        phase: "ramp",
      } as const;
      let used = 0.08 * trialMs;
      for (let nowMs = trialMs; nowMs < durationMs; nowMs++) {
        used += computeRampShare(BOUNDS, progress, nowMs);
      }
      assert.ok(used <= 0.1 * durationMs + 1, `${durationMs} ms: ${used}`);
      const stageMs = computeRampStageMs(BOUNDS, progress);
      const lastMs = trialMs + 2 * stageMs - 1;
      assert.equal(computeRampShare(BOUNDS, progress, lastMs), RAMP_SHARES[1]);
    }
  });
});

describe("isLaterRecord()", () => {
  // Guards against a restored store that takes a decision back.
  it("prefers a later phase, a newer order and more writes", () => {
    const trial = inPhase("trial");
    const done = inPhase("rolled-back");
    assert.ok(isLaterRecord(done, trial));
    assert.ok(!isLaterRecord(trial, done));
    assert.ok(!isLaterRecord(RECORD, trial));
    assert.ok(isLaterRecord({ ...done, sequence: 9 }, done));
  });
});

describe("isSameOrder()", () => {
  // Guards against a bad version that is tried again because the store was restored.
  it("recognises an entry that is read in a later era", () => {
    const order = createOrder();
    const progress = inPhase("rolled-back").order!;
    const restored = { ...order, id: "1.10" as typeof order.id };
    assert.ok(isSameOrder(restored, progress));
    assert.ok(!isSameOrder(createOrder(11), progress));
  });
});
