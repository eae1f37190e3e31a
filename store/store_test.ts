import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import { toChangeId } from "../ids/mod.ts";
import { MemoryStore } from "../standin/mod.ts";
import { admitCall, applyCircuitEvent, CLOSED_CIRCUIT } from "./circuit.ts";
import { GuardedStore } from "./guarded_store.ts";
import { StoreBudget } from "./store_budget.ts";
import type { ChangeLog } from "./write_change.ts";
import { writeChange } from "./write_change.ts";

interface Counter extends ChangeLog {
  readonly count: number;
}

function add(store: MemoryStore, id: string) {
  return writeChange<Counter>(store, {
    key: "counter",
    changeId: toChangeId(id),
    update: (current) => ({ count: (current?.count ?? 0) + 1 }),
  });
}

async function readCount(store: MemoryStore): Promise<number> {
  const read = await store.read("counter");
  return read.isOk() && read.value
    ? (JSON.parse(read.value.value) as Counter).count
    : 0;
}

describe("writeChange()", () => {
  describe("when an answer is lost after the write took effect", () => {
    it("finds its change id in the document and does not write again", async () => {
      const store = new MemoryStore(new VirtualClock());
      await add(store, "1");
      store.faults.loseAnswers = 1;
      const written = await add(store, "2");
      assert.ok(written.isOk());
      assert.equal(written.value.kind, "written");
      assert.equal(await readCount(store), 2);
    });
  });

  describe("when the store goes down after a lost answer", () => {
    it("fails as unknown, since the write may have taken effect", async () => {
      const store = new MemoryStore(new VirtualClock());
      store.faults.loseAnswers = 1;
      const swap = store.swap.bind(store);
      store.swap = async (request) => {
        const result = await swap(request);
        store.setDown(true);
        return result;
      };
      const written = await add(store, "1");
      assert.ok(written.isErr());
      assert.equal(written.error.kind, "unknown");
    });
  });

  describe("when several writers change one document at the same time", () => {
    it("loses no change", async () => {
      const store = new MemoryStore(new VirtualClock());
      await Promise.all(["a", "b", "c", "d"].map((id) => add(store, id)));
      assert.equal(await readCount(store), 4);
    });
  });
});

describe("StoreBudget", () => {
  it("keeps a reserve for journal calls when usage calls have spent their part", () => {
    const budget = new StoreBudget(10, 0);
    const admitted = (callClass: "journal" | "usage") =>
      Array.from({ length: 20 }, () => budget.admit(callClass, 0)).filter(
        Boolean,
      ).length;
    assert.equal(admitted("usage"), 2);
    assert.equal(admitted("journal"), 2);
    assert.equal(budget.admit("journal", 200), true);
  });
});

describe("circuit breaker", () => {
  it("opens after three failures, and admits one probe after a pause", () => {
    const random = createRandom(1);
    const failed = { kind: "failed", nowMs: 0 } as const;
    let state = CLOSED_CIRCUIT;
    [1, 2, 3].forEach(() => (state = applyCircuitEvent(state, failed, random)));
    assert.equal(state.kind, "open");
    assert.equal(admitCall(state, 50).isAdmitted, false);
    const probe = admitCall(state, 300);
    assert.equal(probe.isAdmitted, true);
    assert.equal(admitCall(probe.state, 300).isAdmitted, false);
    assert.equal(
      applyCircuitEvent(probe.state, { kind: "succeeded" }, random).kind,
      "closed",
    );
  });
});

describe("GuardedStore", () => {
  describe("during an outage of 30 s and after", () => {
    it("stays within its budget throughout, and is reachable again within 6 s", async () => {
      const clock = new VirtualClock();
      const store = new MemoryStore(clock);
      const guarded = new GuardedStore({
        store,
        clock,
        random: createRandom(3),
        budget: new StoreBudget(30, clock.nowMs()),
      });
      const callsPerSecond: number[] = [];
      let backAfterMs = -1;
      for (let second = 0; second < 60; second++) {
        if (second === 10) store.setDown(true);
        if (second === 40) store.setDown(false);
        const before = store.counts.reads;
        for (let tick = 0; tick < 100; tick++) {
          void guarded.read("key", { callClass: "journal" });
          await clock.advance(10);
        }
        callsPerSecond.push(store.counts.reads - before);
        const isBack = second >= 40 && guarded.isReachable;
        if (isBack && backAfterMs < 0) backAfterMs = (second - 39) * 1_000;
      }
      assert.ok(
        Math.max(...callsPerSecond) <= 30,
        `calls a second: ${callsPerSecond}`,
      );
      assert.ok(
        Math.max(...callsPerSecond.slice(12, 40)) <= 3,
        "few probes while it is down",
      );
      assert.ok(
        backAfterMs > 0 && backAfterMs <= 6_000,
        `back after ${backAfterMs} ms`,
      );
    });
  });

  describe("when its call budget is spent", () => {
    it("delays batch calls, delays journal calls briefly, and refuses usage calls", async () => {
      const clock = new VirtualClock();
      const guarded = new GuardedStore({
        store: new MemoryStore(clock),
        clock,
        random: createRandom(3),
        budget: new StoreBudget(5, clock.nowMs()),
      });
      const ends: string[] = [];
      const call = (callClass: "batch" | "journal" | "usage") =>
        void guarded.read("key", { callClass }).then((result) =>
          ends.push(`${callClass} ${result.isOk() ? "ok" : result.error.kind}`)
        );
      Array.from({ length: 4 }).forEach(() => call("journal"));
      await clock.advance(0);
      assert.deepEqual(ends, Array.from({ length: 4 }, () => "journal ok"));
      ["usage" as const, "journal" as const, "batch" as const].forEach(call);
      await clock.advance(1_500);
      assert.deepEqual(ends.slice(4), [
        "usage over-budget",
        "journal ok",
        "batch ok",
      ]);
    });
  });

  describe("when the store does not answer", () => {
    it("fails a call as unknown at its deadline", async () => {
      const clock = new VirtualClock();
      const store = new MemoryStore(clock);
      store.faults.latencyMs = 60_000;
      const guarded = new GuardedStore({
        store,
        clock,
        random: createRandom(3),
        budget: new StoreBudget(30, clock.nowMs()),
      });
      const swapped = guarded.swap({
        key: "k",
        expectedRevision: 0,
        value: "v",
      });
      await clock.advance(1_600);
      const result = await swapped;
      assert.ok(result.isErr());
      assert.equal(result.error.kind, "unknown");
    });
  });
});
