import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Arrival, type ArrivalKind, checkArrivals } from "./arrival.ts";

/** Returns what is broken of a call that got a status, and arrived in these ways. */
function check(status: number, kinds: readonly ArrivalKind[]) {
  const call = { callId: "c1", instance: "front-a", status };
  const arrivals = ["c0", "c1"].flatMap((callId) =>
    kinds.map((kind, at): Arrival => ({
      callId,
      kind,
      server: `s-${at}`,
      connection: at,
      atMs: at,
    }))
  );
  return checkArrivals([call], arrivals).map(({ kind }) => kind);
}

describe("checkArrivals()", () => {
  describe("of a call that ran at most once", () => {
    it("finds nothing, wherever else it arrived", () => {
      assert.deepEqual(check(200, ["misdirected", "rejected", "ran"]), []);
      assert.deepEqual(check(503, ["misdirected", "rejected"]), []);
      assert.deepEqual(check(502, ["ran"]), []);
    });
  });

  describe("of a call that ran twice", () => {
    it("finds it, whatever its caller was told", () => {
      assert.deepEqual(check(200, ["ran", "rejected", "ran"]), ["ran-twice"]);
      assert.deepEqual(check(503, ["ran", "ran"]), ["ran-twice"]);
    });
  });

  describe("of a call that ran once", () => {
    it("finds it if its caller was told that it has not run", () => {
      [408, 421, 429, 503].forEach((status) =>
        assert.deepEqual(check(status, ["ran"]), ["refused-ran"])
      );
    });
  });
});
