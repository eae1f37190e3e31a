import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toCallFingerprint } from "../ids/mod.ts";
import { CrashReportQueue } from "./crash_report_queue.ts";

function createRows(count: number) {
  return Array.from({ length: count }, (_, at) => ({
    call: toCallFingerprint(`call ${at}`),
    servers: [],
    ageMs: 10,
  }));
}

describe("CrashReportQueue", () => {
  it("sends each row twice, with its current age", () => {
    const queue = new CrashReportQueue();
    queue.add(createRows(2), 100);
    assert.deepEqual(queue.take(8, 100).map(({ ageMs }) => ageMs), [10, 10]);
    assert.deepEqual(queue.take(8, 250).map(({ ageMs }) => ageMs), [160, 160]);
    assert.deepEqual(queue.take(8, 400), []);
  });

  it("sends the newest rows first, and at most the requested number", () => {
    const queue = new CrashReportQueue();
    queue.add(createRows(3), 0);
    assert.deepEqual(queue.take(2, 0).map(({ call }) => call), [
      "call 1",
      "call 2",
    ]);
  });

  it("drops the oldest rows when the queue is full", () => {
    const queue = new CrashReportQueue();
    queue.add(createRows(1_000), 0);
    assert.ok(queue.length <= 192);
    assert.equal(queue.take(1, 0)[0]!.call, "call 999");
  });
});
