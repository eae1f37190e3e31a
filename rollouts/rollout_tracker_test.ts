import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  BOUNDS,
  createOrder,
  createOrigin,
  createReport,
  createRow,
  createServers,
  REGION,
  TrackerBed,
  V1,
  V2,
  V3,
} from "../tests/rollout_fixture.ts";
import { toRegionId, toRolloutId } from "../ids/mod.ts";
import type { RolloutPhase, SendOutcome } from "./rollout_types.ts";

const OLD = createServers(V1);
const NEW = createServers(V2);
const ALL = [...NEW, ...OLD];

/** Starts a bed whose order is in a phase. */
function createBed(phase: RolloutPhase = "trial", instanceCount = 1) {
  const bed = new TrackerBed(instanceCount);
  bed.begin(ALL);
  if (phase !== "trial") {
    const { order } = bed.record!;
    const sequence = bed.record!.sequence! + 1;
    bed.tracker.applyRecord({
      ...bed.record!,
      inForce: phase === "completed" ? [V2] : [V1],
      sequence,
      order: { ...order!, phase, phaseSinceMs: bed.clock.nowMs() },
    });
  }
  return bed;
}

function sendTo(bed: TrackerBed, server = OLD[0]!) {
  return bed.tracker.beginSend({
    service: "app",
    server: server.id,
    route: "chat",
  });
}

/** Largest number of sends of `spendBudget`. */
const MAX_SENDS = 500;

/** Sends to the canary while the budget allows it; returns how many sends began. */
function spendBudget(bed: TrackerBed, outcome: SendOutcome): number {
  const assignment = bed.tracker.assign({
    service: "app",
    region: REGION,
    isFirstSend: false,
    mustUse: V2,
  });
  let sends = 0;
  while (sends < MAX_SENDS && bed.tracker.isAllowed(assignment, NEW[0]!)) {
    sendTo(bed, NEW[0]).end(outcome);
    sends++;
  }
  return sends;
}

describe("RolloutTracker", () => {
  describe("without an order", () => {
    // Guards against traffic to servers that are merely registered (requirement 1).
    it("sends nothing to a version that registers later, also one by one", () => {
      const bed = new TrackerBed();
      bed.tracker.applyServers(OLD);
      bed.advance(2_500);
      bed.tracker.applyServers([...NEW, OLD[0]!]);
      for (let index = 0; index < 50; index++) {
        assert.equal(bed.choose(ALL)?.version, V1);
      }
      assert.deepEqual(bed.tracker.createReports("instance"), []);
    });

    // Guards against traffic to a version that registers before the first record is written.
    it("sends nothing to a version that registers beside the first, also at once", () => {
      const bed = new TrackerBed();
      bed.tracker.applyServers(OLD);
      bed.advance(500);
      bed.tracker.applyServers(ALL);
      for (let index = 0; index < 50; index++) {
        assert.equal(bed.choose(ALL)?.version, V1);
      }
      bed.advance(2_000);
      assert.deepEqual(bed.record?.inForce, [V1]);
    });

    // Guards against an ordered version that is seen first, as the old servers' entries are away.
    it("counts the version that registers beside an ordered one as active", () => {
      const bed = new TrackerBed();
      bed.tracker.applyServers(NEW);
      bed.advance(500);
      bed.tracker.applyServers(ALL);
      bed.tracker.applyOrder("app", createOrder());
      assert.equal(bed.choose(ALL)?.version, V1);
      bed.advance(2_000);
      assert.deepEqual(bed.record?.inForce, [V1]);
    });

    // Guards against an ordered version that a restarted instance takes for an old one.
    it("does not count an ordered version as active before a record is known", () => {
      const bed = new TrackerBed();
      bed.tracker.applyOrder("app", createOrder());
      bed.tracker.applyServers(ALL);
      assert.equal(bed.choose(ALL)?.version, V1);
      bed.advance(2_500);
      assert.deepEqual(bed.record?.inForce, [V1]);
    });

    // Guards against a service without servers after they were all replaced.
    it("takes over another version once the active one is gone", () => {
      const bed = new TrackerBed();
      bed.tracker.applyServers(OLD);
      bed.advance(2_500);
      bed.tracker.applyServers(NEW);
      bed.advance(1_000);
      assert.equal(bed.choose(NEW), undefined);
      bed.advance(1_500);
      assert.equal(bed.choose(NEW)?.version, V2);
    });
  });

  describe("in the canary", () => {
    // Guards against a canary above its share, and against one that gets nothing.
    it("sends a share to the canary's servers, and retries to the old version", () => {
      const bed = createBed();
      let newSends = 0;
      for (let step = 0; step < 100; step++) {
        newSends += bed.sendCalls(10, ALL, false);
        bed.clock.advanceSync(50);
      }
      assert.ok(newSends >= 50 && newSends <= 0.08 * 1_000 + 25, `${newSends}`);
      assert.equal(bed.choose(ALL, { isFirstSend: false })?.version, V1);
    });

    // Guards against assignments that outlive the decision (requirements 1 and 3).
    it("refuses an old assignment once the version is bad", () => {
      const bed = createBed();
      const assignment = bed.tracker.assign({
        service: "app",
        region: REGION,
        isFirstSend: false,
        mustUse: V2,
      });
      assert.ok(NEW.some((each) => bed.tracker.isAllowed(assignment, each)));
      bed.tracker.mergeReports(createOrigin(), [createReport({ isBad: true })]);
      assert.ok(!NEW.some((each) => bed.tracker.isAllowed(assignment, each)));
    });

    // Guards against an isolated instance that exposes callers without hearing of a finding.
    it("sends to the active version only while it hears no others", () => {
      for (const phase of ["trial", "ramp"] as const) {
        const bed = createBed(phase);
        bed.isInTouch = false;
        assert.equal(bed.sendCalls(500, ALL, false), 0);
      }
    });

    // Guards against a canary outside the region that has its servers.
    it("runs in the region of the destination's servers alone", () => {
      const bed = createBed();
      const assignment = bed.tracker.assign({
        service: "app",
        region: toRegionId("south"),
        isFirstSend: true,
      });
      assert.equal(assignment.kind, "in-force");
    });

    // Guards against streams that join pieces of two versions (requirement 7).
    it("keeps a resumed stream at the version that began it, or nowhere", () => {
      const bed = createBed();
      assert.equal(bed.choose(ALL, { mustUse: V1 })?.version, V1);
      assert.equal(bed.choose(ALL, { mustUse: V2 })?.version, V2);
      bed.tracker.mergeReports(createOrigin(), [createReport({ isBad: true })]);
      assert.equal(bed.choose(ALL, { mustUse: V2 }), undefined);
      assert.equal(bed.choose(ALL, { mustUse: V3 }), undefined);
    });

    // Guards against a slow rollback, and one that waits for the store (requirement 3).
    it("stops at a bad version without the store, well before 50 bad responses", () => {
      const bed = createBed();
      let badSends = 0;
      for (let step = 0; step < 100; step++) {
        badSends += bed.sendCalls(20, ALL, true);
        bed.clock.advanceSync(50);
      }
      assert.ok(badSends < 50, `${badSends}`);
      assert.ok(bed.tracker.createReports("summary")[0]?.isBad);
      assert.ok(bed.events.includes("found-bad"));
      bed.advance(200);
      assert.equal(bed.record?.order?.phase, "rolled-back");
      assert.equal(bed.tracker.listStatuses()[0]?.state, "rolled_back");
    });

    // Guards against a report that arrives before the record of its order.
    it("remembers a finding on an order that it does not know yet", () => {
      const bed = new TrackerBed();
      bed.tracker.mergeReports(createOrigin(), [createReport({ isBad: true })]);
      bed.begin(ALL);
      bed.advance(100);
      assert.equal(bed.record?.order?.phase, "rolled-back");
      assert.equal(bed.sendCalls(500, ALL, false), 0);
    });

    // Guards against traffic to a withdrawn order while the record still says trial.
    it("sends nothing once the order is removed", () => {
      const bed = createBed();
      bed.tracker.applyOrder("app", undefined);
      assert.equal(bed.sendCalls(500, ALL, false), 0);
      bed.advance(100);
      assert.equal(bed.record?.order?.reason, "withdrawn");
    });

    // Guards against a budget that a restart renews (requirement 2).
    it("gives an instance that started after the order no more than its share", () => {
      const bed = createBed();
      const restarted = new TrackerBed();
      restarted.tracker.applyRecord(bed.record!);
      restarted.tracker.applyOrder("app", createOrder());
      restarted.tracker.applyServers(ALL);
      const newSends = restarted.sendCalls(12, ALL, false);
      assert.equal(newSends, 0);
    });

    // Guards against an exposure above the bound (requirement 2): sends that reach no server
    // must not earn sends to the canary.
    it("earns nothing by sends whose connection did not open", () => {
      const bed = createBed();
      for (let index = 0; index < 2_000; index++) {
        sendTo(bed).end({ kind: "not-sent" });
      }
      const newSends = spendBudget(bed, { kind: "ignored" });
      const slack = BOUNDS.exposureSlack / 2;
      assert.ok(newSends <= slack / (1 - 0.08) + 1, `${newSends}`);
    });

    // Guards against a canary that is starved by a server which cannot be reached.
    it("gets back the sends whose connection did not open", () => {
      const bed = createBed();
      assert.equal(spendBudget(bed, { kind: "not-sent" }), MAX_SENDS);
      assert.ok(spendBudget(bed, { kind: "ignored" }) >= 25);
    });

    // Guards against calls to a bad version that was in force beside the one it replaces
    // (requirement 3): a rollback to all versions in force would send calls to it again.
    it("sends nothing to a bad version that was in force before its order", () => {
      const bed = new TrackerBed();
      bed.tracker.applyServers(ALL);
      bed.advance(2_500);
      assert.deepEqual(bed.record?.inForce, [V1, V2]);
      bed.tracker.applyOrder("app", createOrder());
      bed.advance(100);
      bed.tracker.mergeReports(createOrigin(), [createReport({ isBad: true })]);
      assert.equal(bed.sendCalls(100, ALL, true), 0);
      bed.advance(100);
      assert.equal(bed.record?.order?.phase, "rolled-back");
      assert.deepEqual(bed.record?.inForce, [V1]);
      assert.equal(bed.sendCalls(100, ALL, true), 0);
    });

    // Guards against one faulty server that gets the whole canary.
    it("moves on from a server that looks faulty to others", () => {
      const bed = createBed();
      const first = bed.choose(NEW, { isFirstSend: false, mustUse: V2 });
      const suspects = [first!.id];
      bed.tracker.mergeReports(createOrigin(), [createReport({ suspects })]);
      for (let step = 0; step < 300; step++) {
        const server = bed.choose(NEW);
        assert.notEqual(server?.id, first!.id);
        bed.sendCalls(2, ALL, false);
        bed.clock.advanceSync(50);
      }
    });
  });

  describe("in the switch", () => {
    // Guards against old servers that are stopped while they have calls (requirement 6).
    it("completes once calls at old servers have ended", () => {
      const bed = new TrackerBed();
      bed.tracker.applyServers(OLD);
      bed.advance(2_500);
      const send = sendTo(bed);
      bed.begin(ALL);
      const { order, sequence } = bed.record!;
      bed.tracker.applyRecord({
        ...bed.record!,
        sequence: sequence! + 1,
        order: { ...order!, phase: "switch" },
      });
      bed.advance(14_000);
      assert.notEqual(bed.record?.order?.phase, "completed");
      assert.equal(bed.choose(ALL)?.version, V2);
      assert.equal(bed.tracker.createReports("instance")[0]?.previousCalls, 1);
      send.end({ kind: "ignored" });
      bed.advance(100);
      assert.equal(bed.record?.order?.phase, "completed");
      assert.deepEqual(bed.record?.inForce, [V2]);
    });

    // Guards against `completed` before all instances have left, and against waiting for dead ones.
    it("waits for instances until they report the switch or are silent for contactMs", () => {
      const bed = createBed("switch", 2);
      const report = (changes: Parameters<typeof createReport>[0]) =>
        bed.tracker.mergeReports(createOrigin(), [createReport(changes)]);
      report({ phase: "trial" });
      bed.advance(1_000);
      assert.notEqual(bed.record?.order?.phase, "completed");
      report({ phase: "switch", previousCalls: 2 });
      bed.advance(4_000);
      assert.notEqual(bed.record?.order?.phase, "completed");
      bed.advance(2_100);
      assert.equal(bed.record?.order?.phase, "completed");
    });

    // Guards against an isolated relay that takes all others for dead.
    it("does not complete while it hears no others", () => {
      const bed = createBed("switch", 2);
      bed.isInTouch = false;
      bed.advance(8_000);
      assert.notEqual(bed.record?.order?.phase, "completed");
    });

    // Guards against calls to old servers after the promise that none will follow.
    it("resumes streams at the old version until it reports that it has left", () => {
      const bed = createBed("switch");
      assert.equal(bed.choose(ALL, { mustUse: V1 })?.version, V1);
      bed.tracker.createReports("instance");
      assert.equal(bed.choose(ALL, { mustUse: V1 }), undefined);
    });
  });

  describe("with a store that fails", () => {
    // Guards against a decision that a restore takes back (requirement 3).
    it("writes a decision again that a restored store lost, and keeps to it", () => {
      const bed = createBed();
      const trial = bed.record!;
      bed.tracker.mergeReports(createOrigin(), [createReport({ isBad: true })]);
      bed.advance(100);
      const decided = bed.record!;
      bed.tracker.applyRecord(trial);
      bed.tracker.applyOrder("app", {
        ...createOrder(),
        id: toRolloutId("1.10"),
      });
      assert.equal(bed.sendCalls(300, ALL, false), 0);
      bed.advance(100);
      assert.equal(bed.record?.order?.phase, "rolled-back");
      assert.ok(bed.record!.sequence! > decided.sequence!);
      bed.tracker.forgetRecord("app");
      bed.record = undefined;
      bed.advance(100);
      assert.equal(bed.record!["order"]?.phase, "rolled-back");
    });

    // Guards against a finding that overrides a completion in the store.
    it("takes `completed` as final although the version looks bad", () => {
      const bed = createBed("completed");
      bed.tracker.mergeReports(createOrigin(), [createReport({ isBad: true })]);
      bed.advance(500);
      assert.equal(bed.choose(ALL)?.version, V2);
    });

    // Guards against an instance without the store that stays behind the others.
    it("follows a later phase that another instance reports", () => {
      const bed = createBed();
      bed.tracker.mergeReports(createOrigin(), [
        createReport({ phase: "switch" }),
      ]);
      assert.equal(bed.choose(ALL)?.version, V2);
    });
  });

  // Guards against several relays that write at once, and a decider that dies.
  it("delays the write of a later relay, which takes over if the first does not write", () => {
    const bed = createBed();
    bed.tracker.applyOrder("app", undefined);
    const nowMs = bed.clock.nowMs();
    assert.equal(bed.tracker.planWrites(nowMs, 1).length, 0);
    assert.equal(bed.tracker.planWrites(nowMs + 149, 1).length, 0);
    assert.equal(bed.tracker.planWrites(nowMs + 150, 1).length, 1);
  });

  // Guards against report bytes after an order and evidence in summaries.
  it("reports evidence only while the order runs, and never in summaries", () => {
    const bed = createBed();
    const evidence = [createRow("in-force", 5)];
    bed.tracker.mergeReports(createOrigin(), [createReport({ evidence })]);
    sendTo(bed).end({ kind: "answered", firstByteMs: 90 });
    const responses = (scope: "instance" | "region" | "summary") =>
      bed.tracker.createReports(scope)[0]?.evidence[0]?.responses;
    assert.equal(responses("instance"), 1);
    assert.equal(responses("region"), 6);
    assert.equal(responses("summary"), undefined);
    bed.tracker.applyOrder("app", undefined);
    bed.advance(100);
    assert.equal(responses("instance"), undefined);
    bed.advance(6_100);
    assert.deepEqual(bed.tracker.createReports("instance"), []);
  });
});
