import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { explainCall } from "./explain_call.ts";

function toLine(second: number, fields: Readonly<Record<string, unknown>>) {
  const time = new Date(1_000 * second).toISOString();
  return JSON.stringify({ level: "info", time, instance: "a", ...fields });
}

const LINES = [
  toLine(12, { message: "refused", call: "c1", reason: "no-room" }),
  `  3.1 front-a ${toLine(11, { message: "rejected", call: "c1", at: "s1" })}`,
  toLine(10, { message: "server suspended", server: "s2" }),
  toLine(10, { message: "server suspended", server: "s3", instance: "b" }),
  toLine(1, { message: "store lost" }),
  toLine(11, { message: "refused", call: "c2" }),
  "no line of ours",
];

describe("explainCall()", () => {
  it("lists decisions in order of time, then what the same instance learned before", () => {
    const explained = explainCall(LINES, "c1");
    assert.equal(explained.length, 5);
    assert.match(explained[1]!, /a rejected: at=s1$/);
    assert.match(explained[2]!, /a refused: reason=no-room$/);
    assert.match(explained[4]!, /a server suspended: server=s2$/);
  });

  it("returns no lines if no log line names the call", () => {
    assert.deepEqual(explainCall(LINES, "c9"), []);
  });
});
