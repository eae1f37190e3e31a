import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  ACCEPT_ALL_CALLS_MS,
  computeCloseMs,
  decideShutdownStage,
  isDoneBeforeClose,
  mayExit,
} from "./decide_shutdown_stage.ts";

const TIMES = { startMs: 1_000, graceMs: 8_000 };
const EARLY_MS = TIMES.startMs + ACCEPT_ALL_CALLS_MS;
const LATE_MS = EARLY_MS + 1;

describe("decideShutdownStage()", () => {
  it("accepts all calls in the first seconds", () => {
    [0, 5].forEach((earlyCalls) =>
      [true, false].forEach((hasReadyPeer) =>
        assert.equal(
          decideShutdownStage(TIMES, {
            nowMs: EARLY_MS,
            earlyCalls,
            hasReadyPeer,
          }),
          "accepting",
        )
      )
    );
  });

  it("accepts short calls only while answers are pending and no other instance is ready", () => {
    const decide = (earlyCalls: number, hasReadyPeer: boolean) =>
      decideShutdownStage(TIMES, { nowMs: LATE_MS, earlyCalls, hasReadyPeer });
    assert.equal(decide(1, false), "lingering");
    assert.equal(decide(1, true), "closing");
    assert.equal(decide(0, false), "closing");
  });
});

describe("isDoneBeforeClose()", () => {
  it("leaves a margin before the close, which precedes the end of the grace period", () => {
    const closeMs = computeCloseMs(TIMES);
    assert.ok(closeMs < TIMES.startMs + TIMES.graceMs);
    assert.ok(isDoneBeforeClose(TIMES, closeMs - 200));
    assert.ok(!isDoneBeforeClose(TIMES, closeMs - 199));
  });
});

describe("mayExit()", () => {
  it("is false while calls are in flight or have just been sent", () => {
    const end = { stage: "closing", stageMs: 200, openCount: 0 } as const;
    assert.ok(mayExit(end));
    assert.ok(!mayExit({ ...end, openCount: 1 }));
    assert.ok(!mayExit({ ...end, stageMs: 199 }));
    assert.ok(!mayExit({ ...end, stage: "lingering" }));
  });
});
