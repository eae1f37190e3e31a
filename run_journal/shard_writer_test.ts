import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import { toAttemptId, toIncarnation, toRunKey, toTeamId } from "../ids/mod.ts";
import { MemoryStore } from "../standin/mod.ts";
import type { Run, RunEnd } from "./run_record.ts";
import { ShardWriter, type ShardWriterOptions } from "./shard_writer.ts";

const RAN: RunEnd = {
  kind: "ran",
  answer: { status: 200, contentType: "text/plain", body: "done" },
};

function createFixture(options: ShardWriterOptions = {}) {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  let deadHolder = "";
  const createWriter = (seed: number) =>
    new ShardWriter({
      store,
      clock,
      random: createRandom(seed),
      prefix: "/shard/",
      isDead: (holder) => holder === deadHolder,
    }, options);
  return {
    clock,
    store,
    createWriter,
    setDeadHolder: (holder: string) => (deadHolder = holder),
  };
}

function createRun(attempt: string, overrides: Partial<Run> = {}): Run {
  return {
    key: toRunKey(toTeamId("team"), "key"),
    bodyHash: "hash",
    attempt: toAttemptId(attempt),
    holder: toIncarnation(`holder-${attempt}`),
    dueMs: 1_000_000 + 60_000,
    ...overrides,
  };
}

async function settle<T>(
  clock: VirtualClock,
  promise: Promise<T>,
  ms = 20_000,
): Promise<T> {
  let isSettled = false;
  void promise.then(() => (isSettled = true));
  for (let passedMs = 0; passedMs < ms && !isSettled; passedMs += 100) {
    await clock.advance(100);
  }
  return await promise;
}

async function begin(
  clock: VirtualClock,
  writer: ShardWriter,
  run: Run,
): Promise<string> {
  const begun = await settle(clock, writer.begin(run));
  return begun.isOk() ? begun.value.kind : begun.error.name;
}

describe("ShardWriter", () => {
  describe("when a key is used again", () => {
    it("grants the first run, refuses the second as in progress, then returns the stored answer", async () => {
      const { clock, createWriter } = createFixture();
      const writer = createWriter(1);
      assert.equal(await begin(clock, writer, createRun("a")), "granted");
      assert.equal(await begin(clock, writer, createRun("b")), "in-progress");
      await settle(
        clock,
        writer.finish(createRun("a").key, toAttemptId("a"), RAN),
      );
      assert.equal(await begin(clock, writer, createRun("c")), "kept");
    });

    it("refuses a request with another body", async () => {
      const { clock, createWriter } = createFixture();
      const writer = createWriter(1);
      await begin(clock, writer, createRun("a"));
      const other = createRun("b", { bodyHash: "other" });
      assert.equal(await begin(clock, writer, other), "mismatch");
    });

    it("grants it again after an end of kind not-run, but not after one of kind unknown", async () => {
      const { clock, createWriter } = createFixture();
      const writer = createWriter(1);
      const { key } = createRun("a");
      await begin(clock, writer, createRun("a"));
      await settle(
        clock,
        writer.finish(key, toAttemptId("a"), { kind: "not-run" }),
      );
      assert.equal(await begin(clock, writer, createRun("b")), "granted");
      await settle(
        clock,
        writer.finish(key, toAttemptId("b"), { kind: "unknown" }),
      );
      assert.equal(await begin(clock, writer, createRun("c")), "unknown");
    });
  });

  describe("when the holder is dead, or the deadline passed long ago", () => {
    it("answers unknown and does not grant the run", async () => {
      const { clock, createWriter, setDeadHolder } = createFixture();
      const writer = createWriter(1);
      await begin(clock, writer, createRun("a"));
      setDeadHolder("holder-a");
      assert.equal(await begin(clock, writer, createRun("b")), "unknown");
      setDeadHolder("");
      await clock.advance(120_000);
      assert.equal(await begin(clock, writer, createRun("b")), "unknown");
    });
  });

  describe("when two writers of a shard are unaware of each other", () => {
    it("grants the key to only one of them", async () => {
      const { clock, createWriter } = createFixture();
      const [first, second] = [createWriter(1), createWriter(2)];
      const outcomes = await Promise.all([
        begin(clock, first, createRun("a")),
        begin(clock, second, createRun("b")),
      ]);
      assert.deepEqual(outcomes.toSorted(), ["granted", "in-progress"]);
    });

    it("does not grant a key again to a writer that was paused while segments were filled and pruned", async () => {
      const { clock, store, createWriter } = createFixture({
        segmentBytes: 400,
        retentionMs: 10_000,
      });
      const paused = createWriter(1);
      const busy = createWriter(2);
      await begin(
        clock,
        paused,
        createRun("warm", { key: toRunKey(toTeamId("t"), "warm") }),
      );
      for (let index = 0; index < 30; index++) {
        const key = toRunKey(toTeamId("t"), `k${index}`);
        assert.equal(
          await begin(clock, busy, createRun(`x${index}`, { key })),
          "granted",
        );
        await clock.advance(1_000);
      }
      assert.ok(store.snapshot().size < 30, "old segments were pruned");
      const late = createRun("late", { key: toRunKey(toTeamId("t"), "k29") });
      assert.equal(await begin(clock, paused, late), "in-progress");
    });
  });

  describe("when the store fails", () => {
    it("finds its write after the store's response was lost, and grants the key once", async () => {
      const { clock, store, createWriter } = createFixture();
      const writer = createWriter(1);
      await begin(
        clock,
        writer,
        createRun("warm", { key: toRunKey(toTeamId("t"), "w") }),
      );
      store.faults.loseAnswers = 1;
      assert.equal(await begin(clock, writer, createRun("a")), "granted");
      assert.equal(
        await begin(clock, createWriter(2), createRun("b")),
        "in-progress",
      );
    });

    it("repeats a write whose request was lost", async () => {
      const { clock, store, createWriter } = createFixture();
      const writer = createWriter(1);
      await begin(
        clock,
        writer,
        createRun("warm", { key: toRunKey(toTeamId("t"), "w") }),
      );
      store.faults.loseRequests = 2;
      assert.equal(await begin(clock, writer, createRun("a")), "granted");
    });

    it("refuses runs during an outage, and grants the key afterwards", async () => {
      const { clock, store, createWriter } = createFixture();
      const writer = createWriter(1);
      store.setDown(true);
      assert.equal(
        await begin(clock, writer, createRun("a")),
        "JOURNAL_UNAVAILABLE",
      );
      store.setDown(false);
      assert.equal(await begin(clock, writer, createRun("b")), "granted");
    });

    it("records an end that was reported during an outage once the outage is over", async () => {
      const { clock, store, createWriter } = createFixture();
      const writer = createWriter(1);
      await begin(clock, writer, createRun("a"));
      store.setDown(true);
      const ended = writer.finish(createRun("a").key, toAttemptId("a"), RAN);
      await clock.advance(5_000);
      store.setDown(false);
      await settle(clock, ended);
      assert.equal(await begin(clock, createWriter(2), createRun("b")), "kept");
    });
  });
});
