import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HttpRoute } from "../http_routes/mod.ts";
import { toBackendId, toInstanceId, toRegionId } from "../ids/mod.ts";
import type { Exchange } from "./exchange.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { type SendDestination, settleAttempt } from "./settle_attempt.ts";

const SERVER = toBackendId("s1");
const LOCAL = {
  kind: "local",
  candidate: { server: { entry: { id: SERVER } } },
} as SendDestination;
const REMOTE = {
  kind: "remote",
  member: { id: toInstanceId("south-1") },
  region: toRegionId("south"),
} as SendDestination;

const REJECTED: AttemptOutcome = {
  kind: "rejected",
  isMisdirected: false,
  sends: 1,
};
const NO_ANSWER: AttemptOutcome = { kind: "no-answer", message: "silent" };
const BROKEN: AttemptOutcome = { kind: "broken", message: "reset" };

function createExchange(
  route: Partial<HttpRoute>,
  progress: Partial<Exchange["progress"]> = {},
): Exchange {
  return {
    route: { routeClass: "non-idempotent", isResumable: false, ...route },
    progress: { hasBegun: false, lastEventId: undefined, ...progress },
    tried: new Set([SERVER]),
    unreached: new Set(),
    attemptsLeft: 2,
    sentTo: [SERVER],
    isHandingOver: false,
    mayHaveRun: false,
    heldAnswer: undefined,
    avoidedRegions: new Set(),
    avoidedInstances: new Set(),
  } as unknown as Exchange;
}

describe("settleAttempt()", () => {
  describe("when a server reports that it did not run the call", () => {
    it("retries a non-idempotent call and uses one attempt", () => {
      const exchange = createExchange({});
      assert.equal(settleAttempt(exchange, LOCAL, REJECTED).kind, "retry");
      assert.equal(exchange.attemptsLeft, 1);
      assert.equal(exchange.mayHaveRun, false);
    });

    it("uses no attempt if another server has the address", () => {
      const exchange = createExchange({});
      settleAttempt(exchange, LOCAL, { ...REJECTED, isMisdirected: true });
      assert.equal(exchange.attemptsLeft, 2);
    });

    it("uses as many attempts as the remote instance made, and avoids its region", () => {
      const exchange = createExchange({});
      settleAttempt(exchange, REMOTE, { ...REJECTED, sends: 2 });
      assert.equal(exchange.attemptsLeft, 0);
      assert.ok(exchange.avoidedRegions.has(toRegionId("south")));
    });
  });

  describe("when the call may have run", () => {
    it("refuses a non-idempotent call, whether it was sent to a local server or forwarded", () => {
      [LOCAL, REMOTE].forEach((destination) => {
        const exchange = createExchange({});
        assert.equal(
          settleAttempt(exchange, destination, NO_ANSWER).kind,
          "end",
        );
        assert.equal(exchange.mayHaveRun, true);
      });
    });

    it("retries an idempotent call before its answer has begun", () => {
      const exchange = createExchange({ routeClass: "idempotent" });
      assert.equal(settleAttempt(exchange, LOCAL, NO_ANSWER).kind, "retry");
    });

    it("ends an idempotent call once the caller has part of its answer", () => {
      const exchange = createExchange(
        { routeClass: "idempotent" },
        { hasBegun: true },
      );
      assert.equal(settleAttempt(exchange, LOCAL, BROKEN).kind, "end");
    });

    it("resumes a stream only after an event with an id", () => {
      const route = { routeClass: "stream", isResumable: true } as const;
      const torn = createExchange(route, { hasBegun: true });
      const whole = createExchange(route, { hasBegun: true, lastEventId: "4" });
      assert.equal(settleAttempt(torn, LOCAL, BROKEN).kind, "end");
      assert.equal(settleAttempt(whole, LOCAL, BROKEN).kind, "retry");
    });

    it("ends a stream that is not resumable", () => {
      const exchange = createExchange({ routeClass: "stream" });
      assert.equal(settleAttempt(exchange, LOCAL, NO_ANSWER).kind, "end");
    });

    it("avoids the instance that gave no answer", () => {
      const exchange = createExchange({ routeClass: "idempotent" });
      settleAttempt(exchange, REMOTE, NO_ANSWER);
      assert.ok(exchange.avoidedInstances.has(toInstanceId("south-1")));
    });
  });

  describe("when no byte of the call was sent", () => {
    it("chooses another destination without using an attempt", () => {
      const exchange = createExchange({});
      const step = settleAttempt(exchange, LOCAL, {
        kind: "not-sent",
        message: "refused",
      });
      assert.equal(step.kind, "choose-again");
      assert.equal(exchange.attemptsLeft, 2);
      assert.equal(exchange.mayHaveRun, false);
    });

    it("lets another instance send the call to the server", () => {
      const exchange = createExchange({});
      settleAttempt(exchange, LOCAL, { kind: "not-sent", message: "refused" });
      assert.deepEqual([...exchange.tried], []);
      assert.deepEqual(exchange.sentTo, []);
      assert.deepEqual([...exchange.unreached], [SERVER]);
    });
  });

  describe("when another instance reaches no server", () => {
    const UNREACHABLE: AttemptOutcome = {
      ...REJECTED,
      sends: 0,
      reason: "unreachable",
    };

    it("avoids that instance, not its region, and uses no attempt", () => {
      const exchange = createExchange({});
      const step = settleAttempt(exchange, REMOTE, UNREACHABLE);
      assert.equal(step.kind, "choose-again");
      assert.equal(exchange.attemptsLeft, 2);
      assert.deepEqual([...exchange.avoidedRegions], []);
      assert.deepEqual([...exchange.avoidedInstances], [
        toInstanceId("south-1"),
      ]);
    });

    it("uses no retry either if it refuses for another reason, and avoids its region", () => {
      const exchange = createExchange({});
      const step = settleAttempt(exchange, REMOTE, {
        ...UNREACHABLE,
        reason: "no-room",
      });
      assert.equal(step.kind, "choose-again");
      assert.equal(exchange.attemptsLeft, 2);
      assert.deepEqual([...exchange.avoidedRegions], [toRegionId("south")]);
    });

    it("avoids its region if servers there have refused the call before", () => {
      const exchange = createExchange({});
      const step = settleAttempt(exchange, REMOTE, {
        ...UNREACHABLE,
        sends: 1,
      });
      assert.equal(step.kind, "retry");
      assert.deepEqual([...exchange.avoidedRegions], [toRegionId("south")]);
    });
  });
});
