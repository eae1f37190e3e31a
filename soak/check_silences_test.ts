import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RecordedRun } from "../standin/recording_server.ts";
import { checkSilences, type SilenceObservation } from "./check_silences.ts";
import type { CallOutcome, ObservedCall } from "./observation.ts";

const BROKEN: CallOutcome = { kind: "broken", body: "" };
const CALL: ObservedCall = {
  callId: "c1",
  kind: "stream",
  instance: "i1",
  start: 1,
  key: "key",
  sentMs: 10_000,
  endedMs: 11_400,
  end: BROKEN,
};
const RUN: RecordedRun = {
  callId: "c1",
  server: "s1",
  service: "work",
  version: "v1",
  atMs: 10_010,
  resumedAfter: undefined,
  crashesServer: false,
  hasCrashingPart: false,
  team: "steady",
  hasKey: false,
  cutsAnswer: false,
};
const SPAN = { fromMs: 10_100, toMs: 11_200 };
/** A call of which a silent server had run, and that was broken off. */
const LOST: SilenceObservation = {
  calls: [CALL],
  cutOffs: [],
  pauses: [],
  runs: [RUN],
  serverDisturbances: [],
  serverSilences: [{ server: "s1", instances: ["i2"], ...SPAN }],
};

/** Returns the number of calls that are found to be lost. */
function countLost(more: Partial<SilenceObservation>): number {
  return checkSilences({ ...LOST, ...more }).length;
}

function countLostCall(more: Partial<ObservedCall>): number {
  return countLost({ calls: [{ ...CALL, ...more }] });
}

function createAnswer(status: number, isSigned: boolean): CallOutcome {
  return { kind: "answered", status, isSigned, mayBeCut: false, body: "" };
}

describe("checkSilences()", () => {
  it("finds calls of each kind whose silent server did not answer them", () => {
    assert.equal(countLost({}), 1);
    ([
      "idempotent",
      "non-idempotent",
      "single-stream",
      "resumed-stream",
    ] as const)
      .forEach((kind) => assert.equal(countLostCall({ kind }), 1));
    assert.equal(countLostCall({ end: createAnswer(502, false) }), 1);
  });

  it("accepts answers of servers, and calls that reached their deadline", () => {
    assert.equal(countLostCall({ end: createAnswer(200, true) }), 0);
    assert.equal(countLostCall({ endedMs: 13_900 }), 0);
  });

  it("accepts lost calls of which no silent server had run", () => {
    assert.equal(countLost({ runs: [] }), 0);
    assert.equal(countLost({ serverSilences: [] }), 0);
  });

  it("accepts calls that another fault may have ended", () => {
    const countLostBeside = (server: string) =>
      countLost({ serverDisturbances: [{ server, ...SPAN }] });
    assert.equal(countLostBeside("s1"), 0);
    assert.equal(countLostBeside("s2"), 1);
    ["i1", "i2"].forEach((instance) => {
      const pause = { instance, ...SPAN };
      assert.equal(countLost({ pauses: [pause] }), 0);
      assert.equal(countLost({ pauses: [{ ...pause, isGraceful: true }] }), 1);
      const cutOff = { instances: [instance], ...SPAN };
      assert.equal(countLost({ cutOffs: [cutOff] }), 0);
    });
  });

  it("finds lost calls beside faults of instances that they did not pass", () => {
    const pauses = [{ instance: "i3", ...SPAN }];
    assert.equal(countLost({ pauses }), 1);
    const instances = ["i1", "i3"];
    const serverSilences = [{ server: "s1", instances, ...SPAN }];
    assert.equal(countLost({ pauses, serverSilences }), 1);
  });
});
