// Guards against checks of rollouts that overlook a broken rule, or find one where none is broken.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RecordedRun } from "../standin/recording_server.ts";
import type { PromiseName } from "./check_promises.ts";
import { RESUMED_AFTER } from "./caller.ts";
import { checkRollouts, type RolloutObservation } from "./check_rollouts.ts";
import type { ObservedCall, ObservedRollout } from "./observation.ts";

const ORDERED_MS = 10_000;
const DEADLINE_MS = 22_000;

function createRun(more: Partial<RecordedRun> = {}): RecordedRun {
  return {
    callId: "c1",
    server: "s1",
    service: "work",
    version: "v2",
    atMs: ORDERED_MS + 1_000,
    resumedAfter: undefined,
    crashesServer: false,
    hasCrashingPart: false,
    team: "steady",
    hasKey: false,
    cutsAnswer: false,
    ...more,
  };
}

function createRuns(
  count: number,
  more: Partial<RecordedRun>,
): readonly RecordedRun[] {
  return Array.from(
    { length: count },
    (_, at) => createRun({ callId: `${more.version}-${at}`, ...more }),
  );
}

function createCall(more: Partial<ObservedCall> = {}): ObservedCall {
  return {
    callId: "c1",
    kind: "non-idempotent",
    instance: "i1",
    start: 1,
    key: "key-steady",
    sentMs: 15_000,
    endedMs: 15_100,
    end: { kind: "broken", body: "" },
    ...more,
  };
}

function createRollout(more: Partial<ObservedRollout> = {}): ObservedRollout {
  return {
    service: "work",
    destination: "v2",
    isBad: false,
    orderedFromMs: ORDERED_MS,
    deadlineMs: DEADLINE_MS,
    rolledBackMs: undefined,
    completedMs: undefined,
    badAnswers: [],
    statuses: [],
    interruptedRuns: [],
    ...more,
  };
}

/** Checks an observation of one rollout and returns the broken promises. */
function check(
  rollout: Partial<ObservedRollout>,
  more: Partial<RolloutObservation> = {},
): readonly PromiseName[] {
  const violations = checkRollouts({
    calls: [],
    pauses: [],
    refusals: [],
    rejections: [],
    rollouts: [createRollout(rollout)],
    runs: [],
    storeRestoresMs: [],
    ...more,
  });
  return [...new Set(violations.map(({ promise }) => promise))];
}

function createStatuses(...states: readonly string[]) {
  return states.map((state, at) => ({
    atMs: 12_000 + 1_000 * at,
    state,
    destination: "v2",
  }));
}

describe("checkRollouts()", () => {
  describe("versions without an order", () => {
    const promise = ["versions without an order get no calls"];

    it("finds a call before the order", () => {
      const runs = [createRun({ atMs: ORDERED_MS - 1 })];
      assert.deepEqual(check({}, { runs }), promise);
      assert.deepEqual(check({}, { runs: [createRun()] }), []);
    });

    it("finds a call where nothing or another service is ordered", () => {
      const runs = [createRun()];
      assert.deepEqual(check({}, { runs, rollouts: [] }), promise);
      assert.deepEqual(check({ service: "other" }, { runs }), promise);
      assert.deepEqual(check({ destination: "v3" }, { runs }), promise);
    });

    it("finds a call long after the roll-back, and allows one within its time", () => {
      const runs = [createRun({ atMs: 20_100 })];
      assert.deepEqual(check({ rolledBackMs: 15_000 }, { runs }), promise);
      assert.deepEqual(check({ rolledBackMs: 15_200 }, { runs }), []);
    });

    it("finds a call at the old version long after another one was completed", () => {
      const runs = [createRun({ version: "v1", atMs: 21_100 })];
      assert.deepEqual(check({ completedMs: 15_000 }, { runs }), promise);
      assert.deepEqual(check({ completedMs: 15_200 }, { runs }), []);
      const service = "other";
      assert.deepEqual(check({ completedMs: 15_000, service }, { runs }), []);
    });

    it("allows calls at the version in force at any time", () => {
      const runs = [createRun({ version: "v1", atMs: 1 })];
      assert.deepEqual(check({}, { runs }), []);
    });
  });

  describe("exposure", () => {
    const promise = ["bad versions get at most their exposure"];
    const old = createRuns(400, { version: "v1" });
    // 0.1 of 500 calls, and 50.
    const most = createRuns(100, { version: "v2" });

    it("finds one call more at a bad version than share and slack allow", () => {
      const isBad = true;
      const runs = [...old, ...most];
      assert.deepEqual(check({ isBad }, { runs }), []);
      const more = [...runs, createRun()];
      assert.deepEqual(check({ isBad }, { runs: more }), promise);
    });

    it("counts refused calls as arrivals", () => {
      const runs = [...old, ...most, createRun()];
      const refused = Array.from(
        { length: 10 },
        () => ({ server: "s1", atMs: 12_000 }),
      );
      const isBad = true;
      assert.deepEqual(check({ isBad }, { runs, refusals: refused }), []);
      assert.deepEqual(check({ isBad }, { runs, rejections: refused }), []);
    });

    it("ignores calls of other services and after the time limit", () => {
      const other = createRuns(400, { version: "v1", service: "other" });
      const late = createRuns(400, { version: "v1", atMs: DEADLINE_MS + 1 });
      const runs = [...other, ...late, ...most];
      assert.deepEqual(check({ isBad: true }, { runs }), promise);
      const lateBad = createRuns(100, {
        version: "v2",
        atMs: DEADLINE_MS + 1,
      });
      assert.deepEqual(
        check({ isBad: true }, { runs: [...old, ...lateBad] }),
        [],
      );
    });

    it("does not bound the calls of a good version", () => {
      const runs = createRuns(500, { version: "v2" });
      assert.deepEqual(check({ isBad: false }, { runs }), []);
    });
  });

  describe("roll-back", () => {
    const promise = ["bad versions are rolled back in time"];
    const createBadAnswers = (count: number) =>
      Array.from(
        { length: count },
        (_, at) => ({ version: "v2", atMs: 12_000 + at }),
      );

    it("finds a call later than the rollback time after the 50th bad answer", () => {
      const badAnswers = createBadAnswers(60);
      const late = { runs: [createRun({ atMs: 17_050 })] };
      assert.deepEqual(check({ isBad: true, badAnswers }, late), promise);
      const inTime = { runs: [createRun({ atMs: 17_049 })] };
      assert.deepEqual(check({ isBad: true, badAnswers }, inTime), []);
    });

    it("allows calls at a version with fewer bad answers, and at the one in force", () => {
      const late = { runs: [createRun({ atMs: 17_050 })] };
      const badAnswers = createBadAnswers(49);
      assert.deepEqual(check({ isBad: true, badAnswers }, late), []);
      const old = { runs: [createRun({ atMs: 17_050, version: "v1" })] };
      const more = createBadAnswers(60);
      assert.deepEqual(check({ isBad: true, badAnswers: more }, old), []);
    });
  });

  describe("end of a rollout", () => {
    const promise = ["the end of a rollout is final"];

    it("finds an end that turns into the other one, also after a restore", () => {
      [
        createStatuses("running", "completed", "rolled_back"),
        createStatuses("rolled_back", "running", "completed"),
      ].forEach((statuses) => {
        assert.deepEqual(check({ statuses }), promise);
        const storeRestoresMs = [12_500, 13_500];
        assert.deepEqual(check({ statuses }, { storeRestoresMs }), promise);
      });
    });

    it("finds an end that turns into running, unless the store was restored in between", () => {
      const statuses = createStatuses("completed", "running", "completed");
      assert.deepEqual(check({ statuses }), promise);
      assert.deepEqual(check({ statuses }, { storeRestoresMs: [11_000] }), [
        ...promise,
      ]);
      assert.deepEqual(check({ statuses }, { storeRestoresMs: [12_500] }), []);
    });

    it("allows an end that stays", () => {
      const statuses = createStatuses("running", "completed", "completed");
      assert.deepEqual(check({ statuses }), []);
    });
  });

  describe("calls at old servers", () => {
    const promise = ["a completed rollout interrupts no call"];
    const interruptedRuns = [{ callId: "c1", server: "s1", atMs: 15_050 }];

    it("finds a call that was lost as its old server stopped", () => {
      const calls = [createCall()];
      assert.deepEqual(check({ interruptedRuns }, { calls }), promise);
      assert.deepEqual(check({}, { calls }), []);
    });

    it("allows a call that was served elsewhere, or had ended before", () => {
      const served = createCall({
        end: {
          kind: "answered",
          status: 200,
          isSigned: true,
          mayBeCut: false,
          body: "",
        },
      });
      assert.deepEqual(check({ interruptedRuns }, { calls: [served] }), []);
      const ended = createCall({ endedMs: 15_040 });
      assert.deepEqual(check({ interruptedRuns }, { calls: [ended] }), []);
    });

    it("allows a lost call only while an instance was stalled or down", () => {
      const calls = [createCall()];
      const pause = { instance: "i2", fromMs: 14_000, toMs: 15_010 };
      assert.deepEqual(
        check({ interruptedRuns }, { calls, pauses: [pause] }),
        [],
      );
      const before = { ...pause, toMs: 14_990 };
      assert.deepEqual(
        check({ interruptedRuns }, { calls, pauses: [before] }),
        promise,
      );
    });
  });

  describe("streams", () => {
    const first = createRun({ version: "v1" });

    it("finds a stream that goes on at another version", () => {
      const runs = [first, createRun({ resumedAfter: 3 })];
      assert.deepEqual(check({}, { runs }), ["streams are of one version"]);
    });

    it("allows one that goes on at its version, or begins again at another", () => {
      const same = createRun({ version: "v1", resumedAfter: 3 });
      assert.deepEqual(check({}, { runs: [first, same] }), []);
      assert.deepEqual(check({}, { runs: [first, createRun()] }), []);
    });

    it("allows one that its caller resumed at another version, but not one that went on there", () => {
      const calls = [createCall({ kind: "resumed-stream" })];
      const begun = createRun({ version: "v1", resumedAfter: RESUMED_AFTER });
      const find = (resumedAfter: number) =>
        check({}, { calls, runs: [begun, createRun({ resumedAfter })] });
      assert.deepEqual(find(RESUMED_AFTER), []);
      assert.deepEqual(find(RESUMED_AFTER + 1), ["streams are of one version"]);
    });
  });
});
