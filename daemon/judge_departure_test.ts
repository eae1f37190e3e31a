import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  findEndMs,
  hasDone,
  isOverInTime,
  judgeDeparture,
  LEAVING_TAKES_CALLS_MS,
} from "./judge_departure.ts";

const TIMES = { sinceMs: 1_000, graceMs: 8_000 };
const EARLY_MS = TIMES.sinceMs + LEAVING_TAKES_CALLS_MS;
const LATE_MS = EARLY_MS + 1;

describe("judgeDeparture()", () => {
  it("takes all calls in the first seconds", () => {
    [0, 5].forEach((awaited) =>
      [true, false].forEach((hasStandIn) =>
        assert.equal(
          judgeDeparture(TIMES, { nowMs: EARLY_MS, awaited, hasStandIn }),
          "taking",
        )
      )
    );
  });

  it("goes on only while it waits for answers and no other takes calls", () => {
    const judge = (awaited: number, hasStandIn: boolean) =>
      judgeDeparture(TIMES, { nowMs: LATE_MS, awaited, hasStandIn });
    assert.equal(judge(1, false), "lingering");
    assert.equal(judge(1, true), "closing");
    assert.equal(judge(0, false), "closing");
  });
});

describe("isOverInTime()", () => {
  it("leaves a margin before the end, which lies before the kill", () => {
    const endMs = findEndMs(TIMES);
    assert.ok(endMs < TIMES.sinceMs + TIMES.graceMs);
    assert.ok(isOverInTime(TIMES, endMs - 200));
    assert.ok(!isOverInTime(TIMES, endMs - 199));
  });
});

describe("hasDone()", () => {
  it("waits for what is in flight, and for those who have just called", () => {
    const end = { stage: "closing", stageMs: 200, openCount: 0 } as const;
    assert.ok(hasDone(end));
    assert.ok(!hasDone({ ...end, openCount: 1 }));
    assert.ok(!hasDone({ ...end, stageMs: 199 }));
    assert.ok(!hasDone({ ...end, stage: "lingering" }));
  });
});
