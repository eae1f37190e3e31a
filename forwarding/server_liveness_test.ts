import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { ServerLiveness } from "./server_liveness.ts";

const SERVER = toBackendId("s1");
/** Estimated time of a server to its first byte, in milliseconds. */
const ESTIMATE_MS = 200;

describe("ServerLiveness", () => {
  describe("when a server streams answers", () => {
    it("considers it silent once no stream has sent a byte for a while", () => {
      const liveness = new ServerLiveness();
      const calls = [0, 10].map((nowMs) => liveness.begin(SERVER, nowMs));
      calls.forEach((call) => call.recordBytes(100));
      assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 600), false);
      assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 601), true);
      calls[1]!.recordBytes(700);
      assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 701), false);
    });

    it("waits for the first byte of the other calls once the streams have ended", () => {
      const liveness = new ServerLiveness();
      const begun = liveness.begin(SERVER, 0);
      begun.recordBytes(100);
      liveness.begin(SERVER, 200);
      begun.end();
      begun.end();
      assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 1_000), false);
      assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 1_001), true);
    });
  });

  it("considers a server that streams dead after a longer silence", () => {
    const liveness = new ServerLiveness();
    const call = liveness.begin(SERVER, 0);
    assert.equal(liveness.isDead(SERVER, 5_000), false);
    call.recordBytes(5_000);
    assert.equal(liveness.isDead(SERVER, 6_000), false);
    assert.equal(liveness.isDead(SERVER, 6_001), true);
  });

  it("does not consider a server silent whose answers are not read", () => {
    const liveness = new ServerLiveness();
    const call = liveness.begin(SERVER, 0);
    call.recordBytes(100);
    call.pause();
    assert.equal(liveness.isDead(SERVER, 5_000), false);
    assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 5_000), false);
    call.resume(5_000);
    assert.equal(liveness.isDead(SERVER, 6_000), false);
    assert.equal(liveness.isDead(SERVER, 6_001), true);
    call.end();
    call.resume(7_000);
    assert.equal(liveness.isDead(SERVER, 9_000), false);
  });

  it("does not consider a server silent whose entry lapsed and came back while it streamed", () => {
    const liveness = new ServerLiveness();
    const streaming = liveness.begin(SERVER, 0);
    streaming.recordBytes(100);
    liveness.keepOnly(new Set());
    liveness.begin(SERVER, 200).recordBytes(300);
    streaming.recordBytes(1_300);
    assert.equal(liveness.isDead(SERVER, 1_301), false);
    assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 1_301), false);
  });

  it("does not consider a server silent that has no calls", () => {
    const liveness = new ServerLiveness();
    assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 90_000), false);
    liveness.begin(SERVER, 0).end();
    assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 90_000), false);
    liveness.begin(SERVER, 90_000);
    assert.equal(liveness.isSilent(SERVER, ESTIMATE_MS, 90_100), false);
  });
});
