import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { SendOutcome } from "../rollouts/mod.ts";
import { createRoute } from "../tests/route_fixture.ts";
import type { Exchange } from "./exchange.ts";
import { SendEvidence } from "./send_evidence.ts";

describe("SendEvidence", () => {
  it("does not count a pause for a slow caller as a gap between events", () => {
    const outcomes: SendOutcome[] = [];
    const exchange = {
      route: createRoute("/a/", undefined, { routeClass: "stream" }),
      isFirstSend: true,
      isTrial: false,
    } as Exchange;
    const record = { end: (outcome: SendOutcome) => outcomes.push(outcome) };
    const evidence = new SendEvidence(record, exchange, 0);
    evidence.recordFirstByte(100);
    evidence.recordBytes(140);
    evidence.recordResume(5_000);
    evidence.recordBytes(5_060);
    evidence.end({ kind: "answered", status: 200 }, 5_100);
    assert.deepEqual(outcomes, [
      { kind: "answered", firstByteMs: 100, longestGapMs: 60 },
    ]);
  });
});
