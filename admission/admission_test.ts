import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { toInstanceId, toTeamId } from "../ids/mod.ts";
import { AdmissionQueue, type AdmissionRequest } from "./admission_queue.ts";
import { BatchShare } from "./batch_share.ts";
import { TeamLimits } from "./team_limits.ts";

function createQueue(capacity: number) {
  const clock = new VirtualClock();
  const slots = { free: capacity };
  const queue = new AdmissionQueue({
    clock,
    hasCapacity: () => slots.free > 0,
    recordStart: () => slots.free--,
  });
  const started: string[] = [];
  const refused: string[] = [];
  const ask = (name: string, overrides: Partial<AdmissionRequest> = {}) => {
    const request: AdmissionRequest = {
      team: toTeamId("team"),
      priority: "interactive",
      dueMs: clock.nowMs() + 10_000,
      workMs: 100,
      signal: new AbortController().signal,
      ...overrides,
    };
    void queue.admit(request).then((result) => {
      if (result.isOk()) started.push(name);
      else refused.push(`${name} ${result.error.name}`);
    });
  };
  const free = async (count: number) => {
    slots.free += count;
    queue.wake();
    await clock.advance(0);
  };
  return { clock, queue, ask, free, started, refused };
}

describe("AdmissionQueue", () => {
  it("admits no more requests than there is capacity for at one wake", async () => {
    const { ask, free, started } = createQueue(0);
    ["a", "b", "c"].forEach((name) => ask(name));
    await free(2);
    assert.deepEqual(started, ["a", "b"]);
  });

  it("admits higher classes first, and the earliest deadline first within a class", async () => {
    const { clock, ask, free, started } = createQueue(0);
    ask("batch", { priority: "batch" });
    ask("late", { dueMs: clock.nowMs() + 9_000 });
    ask("soon", { dueMs: clock.nowMs() + 5_000 });
    await free(3);
    assert.deepEqual(started, ["soon", "late", "batch"]);
  });

  it("admits a request of another team before all requests of the first one", async () => {
    const { ask, free, started } = createQueue(0);
    ["a1", "a2", "a3"].forEach((name) => ask(name, { team: toTeamId("a") }));
    ask("b1", { team: toTeamId("b") });
    await free(2);
    assert.ok(started.includes("b1"), `started: ${started}`);
  });

  it("refuses a request at once that cannot complete by its deadline", async () => {
    const { clock, ask, refused } = createQueue(1);
    ask("late", { dueMs: clock.nowMs() + 50 });
    await clock.advance(0);
    assert.deepEqual(refused, ["late DEADLINE_PASSED"]);
  });

  it("refuses a waiting request as soon as it cannot complete by its deadline", async () => {
    const { clock, ask, refused } = createQueue(0);
    ask("waits", { dueMs: clock.nowMs() + 500, workMs: 300 });
    await clock.advance(150);
    assert.deepEqual(refused, []);
    await clock.advance(100);
    assert.deepEqual(refused, ["waits DEADLINE_PASSED"]);
  });

  it("removes a waiting request when its caller disconnects", async () => {
    const { clock, queue, ask, refused } = createQueue(0);
    const gone = new AbortController();
    ask("gone", { signal: gone.signal });
    gone.abort();
    await clock.advance(0);
    assert.equal(queue.length, 0);
    assert.deepEqual(refused, ["gone CANCELLED"]);
  });
});

describe("BatchShare", () => {
  it("shrinks when times to the first token approach their target, and grows back", () => {
    const share = new BatchShare();
    const start = share.share;
    Array.from({ length: 80 }).forEach((_, at) =>
      share.record(700, 770, at * 10)
    );
    assert.ok(share.share < start);
    const low = share.share;
    Array.from({ length: 400 }).forEach((_, at) =>
      share.record(50, 770, 1_000 + at * 10)
    );
    assert.ok(share.share > low);
  });
});

describe("TeamLimits", () => {
  const team = toTeamId("team");
  const LIMIT = 90;

  it("keeps the sum of rates within the limit with lost answers and in any order", () => {
    const step = fc.record({
      borrower: fc.nat(3),
      lender: fc.nat(3),
      wanted: fc.double({ min: 0.1, max: 100, noNaN: true }),
      isLost: fc.boolean(),
      answerMs: fc.nat(900),
      demand: fc.nat(20),
      passMs: fc.nat(1_500),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      let nowMs = 1_000_000;
      const all = Array.from({ length: 4 }, () =>
        new TeamLimits({
          startedMs: nowMs - 60_000,
          readBaseShare: () => 1 / 4,
          isJoining: () => false,
        }));
      all.forEach((limits) => limits.admit(team, LIMIT, nowMs));
      const sum = () =>
        all.reduce((total, limits) => total + limits.readRate(team, nowMs), 0);
      steps.forEach(
        ({ borrower, lender, wanted, isLost, answerMs, demand, passMs }) => {
          Array.from({ length: demand }).forEach(() =>
            all[borrower]!.admit(team, LIMIT, nowMs)
          );
          if (borrower !== lender) {
            const from = toInstanceId(`i${borrower}`);
            const askedMs = nowMs;
            const loan = all[lender]!.lend(
              { team, wanted, from },
              LIMIT,
              nowMs,
            );
            nowMs += answerMs;
            assert.ok(sum() <= LIMIT + 1e-6);
            if (!isLost) {
              all[borrower]!.recordLoan(`i${lender}`, loan, { askedMs, nowMs });
            }
          }
          assert.ok(sum() <= LIMIT + 1e-6, `sum ${sum()}`);
          nowMs += passMs;
          assert.ok(sum() <= LIMIT + 1e-6, `sum ${sum()} later`);
        },
      );
    }));
  });
});
