import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { ServerLimits } from "./server_limits.ts";

const SERVER = toBackendId("s1");

describe("ServerLimits", () => {
  describe("hear()", () => {
    it("says what is news", () => {
      const limits = new ServerLimits();
      const hear = (perSecond: number | undefined, atMs: number) =>
        limits.hear(SERVER, { perSecond, sentMs: atMs }, atMs);
      assert.equal(hear(undefined, 1), false);
      assert.equal(hear(2, 2), true);
      assert.equal(hear(2, 3), false);
      assert.equal(hear(1, 4), true);
      assert.equal(hear(undefined, 5), true);
      assert.equal(hear(undefined, 6), false);
    });

    it("does not end a limit by an answer to a call that was sent before it", () => {
      const limits = new ServerLimits();
      limits.hear(SERVER, { perSecond: 2, sentMs: 10 }, 20);
      limits.hear(SERVER, { perSecond: undefined, sentMs: 15 }, 25);
      assert.equal(limits.read(SERVER), 2);
      limits.hear(SERVER, { perSecond: undefined, sentMs: 21 }, 30);
      assert.equal(limits.read(SERVER), undefined);
    });
  });
});
