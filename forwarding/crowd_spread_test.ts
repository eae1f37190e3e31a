// What callers saw on a deployment with 65 entries a region: long prompts that came at
// the same time waited behind each other at one engine while others had nothing to do.
// The evidence, on a virtual clock: the busiest engine had 2.0 times the mean of all,
// and 1.05 times it under load with three instances, which see their own calls at once.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrowdSpread } from "./crowd_spread.ts";

/** Records sends of 10 ms each, so many a second, over 5 s. */
function send(perSecond: number): CrowdSpread {
  const spread = new CrowdSpread();
  const pauseMs = 1_000 / perSecond;
  for (let atMs = 0; atMs < 5_000; atMs += pauseMs) {
    spread.record("lm", 10, atMs);
  }
  return spread;
}

describe("CrowdSpread", () => {
  it("blurs nothing where no other instance chooses, or nothing was sent", () => {
    assert.equal(send(100).readMs("lm", 0, 5_000), 0);
    assert.equal(new CrowdSpread().readMs("lm", 64, 5_000), 0);
    assert.equal(send(100).readMs("other", 64, 5_000), 0);
  });

  it("counts one call of each other instance at the most: each takes turns by itself", () => {
    const spreadMs = send(100).readMs("lm", 2, 5_000);
    assert.equal(Math.round(spreadMs), 20);
  });

  it("counts what a crowd sends while the picture is old", () => {
    // Each of 64 others sends a call every 500 ms: 0.4 of one in 200 ms.
    const spreadMs = send(2).readMs("lm", 64, 5_000);
    assert.ok(spreadMs > 0.7 * 64 * 0.4 * 10, `${spreadMs}`);
    assert.ok(spreadMs < 1.3 * 64 * 0.4 * 10, `${spreadMs}`);
  });

  it("forgets sends of a busier time", () => {
    const spread = send(2);
    assert.ok(spread.readMs("lm", 64, 20_000) < 1);
  });
});
