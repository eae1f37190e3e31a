import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { LoadTracker } from "./load_tracker.ts";

const SERVER = toBackendId("s1");
const ONE = { calls: 1, pendingTokens: 100, memoryTokens: 400 };

describe("LoadTracker", () => {
  describe("when this instance and others have calls at a server", () => {
    it("sums their loads", () => {
      const tracker = new LoadTracker();
      tracker.addOwn(SERVER, ONE);
      tracker.replaceReport("a", {
        scope: "instance",
        loads: [{
          server: SERVER,
          calls: 2,
          pendingTokens: 10,
          memoryTokens: 20,
        }],
      });
      assert.deepEqual(tracker.readTotal(SERVER), {
        calls: 3,
        pendingTokens: 110,
        memoryTokens: 420,
      });
    });

    it("replaces the last report of a sender", () => {
      const tracker = new LoadTracker();
      const loads = [{ server: SERVER, ...ONE }];
      tracker.replaceReport("a", { scope: "instance", loads });
      tracker.replaceReport("a", { scope: "instance", loads });
      assert.equal(tracker.readTotal(SERVER).calls, 1);
      tracker.removeReport("a");
      assert.equal(tracker.readTotal(SERVER).calls, 0);
    });
  });

  describe("listNear()", () => {
    it("leaves out loads that other regions report, which would count twice there", () => {
      const tracker = new LoadTracker();
      tracker.addOwn(SERVER, ONE);
      tracker.replaceReport("region north", {
        scope: "region",
        loads: [{ server: toBackendId("far"), ...ONE }],
      });
      assert.deepEqual(tracker.sumLocal(), [{ server: SERVER, ...ONE }]);
    });
  });
});
