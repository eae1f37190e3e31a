// Guards against herding: long prompts that arrived together queued at one engine while others were idle.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CostJitter } from "./cost_jitter.ts";

/** Records `perSecond` sends a second over 5 s, each with a prefill of 10 ms. */
function recordSends(perSecond: number): CostJitter {
  const jitter = new CostJitter();
  const pauseMs = 1_000 / perSecond;
  for (let atMs = 0; atMs < 5_000; atMs += pauseMs) {
    jitter.record("lm", 10, atMs);
  }
  return jitter;
}

describe("CostJitter", () => {
  it("adds no jitter where no other instance chooses or nothing was sent", () => {
    assert.equal(recordSends(100).computeMaxMs("lm", 0, 5_000), 0);
    assert.equal(new CostJitter().computeMaxMs("lm", 64, 5_000), 0);
    assert.equal(recordSends(100).computeMaxMs("other", 64, 5_000), 0);
  });

  it("counts at most one call of each other instance, as each alternates by itself", () => {
    const maxJitterMs = recordSends(100).computeMaxMs("lm", 2, 5_000);
    assert.equal(Math.round(maxJitterMs), 20);
  });

  it("counts what many instances send while the known loads are out of date", () => {
    // Each of the 64 others sends a call every 500 ms, so 0.4 calls in 200 ms.
    const maxJitterMs = recordSends(2).computeMaxMs("lm", 64, 5_000);
    assert.ok(maxJitterMs > 0.7 * 64 * 0.4 * 10, `${maxJitterMs}`);
    assert.ok(maxJitterMs < 1.3 * 64 * 0.4 * 10, `${maxJitterMs}`);
  });

  it("decays sends of a busier time", () => {
    const jitter = recordSends(2);
    assert.ok(jitter.computeMaxMs("lm", 64, 20_000) < 1);
  });
});
