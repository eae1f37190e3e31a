import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { ServerHealth, type ServerOutcome } from "./server_health.ts";

const SERVER = toBackendId("s1");

/** Returns the health after these outcomes, one every 10 ms from time 0 on. */
function recordOutcomes(...outcomes: readonly ServerOutcome[]): ServerHealth {
  const health = new ServerHealth();
  outcomes.forEach((outcome, at) =>
    health.record(SERVER, { outcome, route: "r" }, 10 * at)
  );
  return health;
}

describe("ServerHealth", () => {
  describe("when a server rejects calls", () => {
    it("raises its failure share with each rejection, without suspending it", () => {
      const once = recordOutcomes("rejected");
      const often = recordOutcomes("rejected", "rejected", "rejected");
      assert.ok(once.readFailureShare(SERVER, "r", 30) > 0);
      assert.ok(
        often.readFailureShare(SERVER, "r", 30) >
          once.readFailureShare(SERVER, "r", 30),
      );
      assert.ok(!often.isSuspended(SERVER, 30));
    });

    it("decays its failure share within seconds, even if it gets no call meanwhile", () => {
      const health = recordOutcomes(
        ...new Array<ServerOutcome>(50).fill("rejected"),
      );
      assert.ok(health.readFailureShare(SERVER, "r", 500) > 0.8);
      assert.ok(health.readFailureShare(SERVER, "r", 5_000) < 0.02);
    });

    it("keeps the failure share from its errors", () => {
      const errors = recordOutcomes("error", "error");
      const both = recordOutcomes("error", "error", "rejected");
      assert.ok(
        both.readFailureShare(SERVER, "r", 60_000) >=
          errors.readFailureShare(SERVER, "r", 60_000),
      );
    });
  });

  describe("when a server asks for a cool-down", () => {
    it("keeps the cool-down whatever the server answers", () => {
      const health = recordOutcomes("answered");
      assert.ok(health.startCooldown(SERVER, 3_000, 0));
      health.record(SERVER, { outcome: "answered", route: "r" }, 100);
      assert.equal(health.readCooldownUntilMs(SERVER), 3_000);
    });

    it("keeps the longer of two overlapping cool-downs, and reports only the first as new", () => {
      const health = recordOutcomes();
      assert.ok(health.startCooldown(SERVER, 3_000, 0));
      assert.ok(!health.startCooldown(SERVER, 1_000, 100));
      assert.equal(health.readCooldownUntilMs(SERVER), 3_000);
      assert.ok(health.startCooldown(SERVER, 5_000, 4_000));
    });
  });
});
