// Guards against herding: long prompts that arrived together queued at one engine while others were idle.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrowdSpread } from "./crowd_spread.ts";

/** Records `perSecond` sends a second over 5 s, each with a prefill of 10 ms. */
function send(perSecond: number): CrowdSpread {
  const spread = new CrowdSpread();
  const pauseMs = 1_000 / perSecond;
  for (let atMs = 0; atMs < 5_000; atMs += pauseMs) {
    spread.record("lm", 10, atMs);
  }
  return spread;
}

describe("CrowdSpread", () => {
  it("adds no jitter where no other instance chooses or nothing was sent", () => {
    assert.equal(send(100).readMs("lm", 0, 5_000), 0);
    assert.equal(new CrowdSpread().readMs("lm", 64, 5_000), 0);
    assert.equal(send(100).readMs("other", 64, 5_000), 0);
  });

  it("counts at most one call of each other instance, as each alternates by itself", () => {
    const spreadMs = send(100).readMs("lm", 2, 5_000);
    assert.equal(Math.round(spreadMs), 20);
  });

  it("counts what many instances send while the known loads are out of date", () => {
    // Each of the 64 others sends a call every 500 ms, so 0.4 calls in 200 ms.
    const spreadMs = send(2).readMs("lm", 64, 5_000);
    assert.ok(spreadMs > 0.7 * 64 * 0.4 * 10, `${spreadMs}`);
    assert.ok(spreadMs < 1.3 * 64 * 0.4 * 10, `${spreadMs}`);
  });

  it("decays sends of a busier time", () => {
    const spread = send(2);
    assert.ok(spread.readMs("lm", 64, 20_000) < 1);
  });
});
