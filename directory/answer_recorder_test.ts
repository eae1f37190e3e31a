import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toRegionId } from "../ids/mod.ts";
import { createSilentLogger, type Logger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import { measureHeapBytes } from "../tests/measure_heap.ts";
import { AnswerRecorder } from "./answer_recorder.ts";
import type { EntryChoice } from "./pick_entries.ts";

const HOSTS = 1_000;
const MAX_GROWTH_BYTES = 1_000_000;

/** Creates a recorder, and lists of what it counts and logs. */
function start() {
  const counted: string[] = [];
  const logged: string[] = [];
  const logger: Logger = {
    ...createSilentLogger(),
    info: (message, fields) =>
      logged.push(`${message} ${fields?.before} ${fields?.choice}`),
  };
  const recorder = new AnswerRecorder({
    logger,
    metrics: {
      ...NO_METRICS,
      count: (_name, _by, tags) => counted.push(tags?.choice ?? ""),
    },
  });
  const record = (choice: EntryChoice, host = "app.example") =>
    recorder.record({
      choice,
      entries: [],
      ttlMs: 0,
      host,
      region: toRegionId("north"),
      configurationVersion: 1,
      describeMembers: () => "",
    });
  return { counted, logged, record };
}

describe("AnswerRecorder", () => {
  it("counts each answer and logs only changes", () => {
    const { counted, logged, record } = start();
    (["near", "near", "home", "home", "near"] as const)
      .forEach((choice) => record(choice));
    assert.deepEqual(counted, ["near", "near", "home", "home", "near"]);
    assert.deepEqual(logged, [
      "callers directed near home",
      "callers directed home near",
    ]);
  });

  it("tracks each host on its own", () => {
    const { logged, record } = start();
    record("home", "a.example");
    record("home", "b.example");
    record("home", "a.example");
    assert.equal(logged.length, 2);
  });

  it("remembers the last answer for a bounded number of hosts", () => {
    const { logged, record } = start();
    Array.from({ length: 3_000 }, (_, at) => record("none", `${at}.example`));
    assert.equal(logged.length, 3_000);
    record("near", "0.example");
    assert.equal(
      logged.length,
      3_000,
      "forgotten, so that near is the default",
    );
  });

  // Callers choose the host, and a thousand of them kept a thousand long texts.
  it("remembers hosts of any length in little memory", () => {
    const { record } = start();
    const before = measureHeapBytes();
    for (let at = 0; at < HOSTS; at++) {
      record("elsewhere", Buffer.alloc(16_000, `${at} `).toString("latin1"));
    }
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
  });
});
