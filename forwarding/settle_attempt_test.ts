import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HttpRoute } from "../http_routes/mod.ts";
import { toBackendId, toInstanceId, toRegionId } from "../ids/mod.ts";
import type { Exchange } from "./exchange.ts";
import type { AttemptOutcome } from "./run_attempt.ts";
import { type SentPlace, settleAttempt } from "./settle_attempt.ts";

const HERE = { kind: "here", candidate: {} } as SentPlace;
const AWAY = {
  kind: "away",
  member: { id: toInstanceId("south-1") },
  region: toRegionId("south"),
} as SentPlace;

const REJECTED: AttemptOutcome = {
  kind: "rejected",
  isOtherServer: false,
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
    tried: new Set([toBackendId("s1")]),
    attemptsLeft: 2,
    sentTo: [],
    isOnOffer: false,
    mayHaveRun: false,
    heldAnswer: undefined,
    avoidedRegions: new Set(),
    avoidedInstances: new Set(),
  } as unknown as Exchange;
}

describe("settleAttempt()", () => {
  describe("when a server says that it did not run the call", () => {
    it("lets a non-idempotent call be repeated and spends one attempt", () => {
      const exchange = createExchange({});
      assert.equal(settleAttempt(exchange, HERE, REJECTED).kind, "repeat");
      assert.equal(exchange.attemptsLeft, 1);
      assert.equal(exchange.mayHaveRun, false);
    });

    it("spends no attempt where another server has the address", () => {
      const exchange = createExchange({});
      settleAttempt(exchange, HERE, { ...REJECTED, isOtherServer: true });
      assert.equal(exchange.attemptsLeft, 2);
    });

    it("spends as many attempts as the other instance made, and leaves its region out", () => {
      const exchange = createExchange({});
      settleAttempt(exchange, AWAY, { ...REJECTED, sends: 2 });
      assert.equal(exchange.attemptsLeft, 0);
      assert.ok(exchange.avoidedRegions.has(toRegionId("south")));
    });
  });

  describe("when the call may have run", () => {
    it("ends a non-idempotent call, also one that came back over a hop", () => {
      [HERE, AWAY].forEach((place) => {
        const exchange = createExchange({});
        assert.equal(settleAttempt(exchange, place, NO_ANSWER).kind, "end");
        assert.equal(exchange.mayHaveRun, true);
      });
    });

    it("lets an idempotent call be repeated before its answer has begun", () => {
      const exchange = createExchange({ routeClass: "idempotent" });
      assert.equal(settleAttempt(exchange, HERE, NO_ANSWER).kind, "repeat");
    });

    it("ends an idempotent call of whose answer a part is with the caller", () => {
      const exchange = createExchange(
        { routeClass: "idempotent" },
        { hasBegun: true },
      );
      assert.equal(settleAttempt(exchange, HERE, BROKEN).kind, "end");
    });

    it("goes on with a stream only after an event with an id", () => {
      const route = { routeClass: "stream", isResumable: true } as const;
      const torn = createExchange(route, { hasBegun: true });
      const whole = createExchange(route, { hasBegun: true, lastEventId: "4" });
      assert.equal(settleAttempt(torn, HERE, BROKEN).kind, "end");
      assert.equal(settleAttempt(whole, HERE, BROKEN).kind, "repeat");
    });

    it("ends a stream that may not be resumed", () => {
      const exchange = createExchange({ routeClass: "stream" });
      assert.equal(settleAttempt(exchange, HERE, NO_ANSWER).kind, "end");
    });

    it("leaves out the instance that gave no answer", () => {
      const exchange = createExchange({ routeClass: "idempotent" });
      settleAttempt(exchange, AWAY, NO_ANSWER);
      assert.ok(exchange.avoidedInstances.has(toInstanceId("south-1")));
    });
  });

  describe("when nothing of the call left", () => {
    it("chooses again without spending an attempt", () => {
      const exchange = createExchange({});
      const step = settleAttempt(exchange, HERE, {
        kind: "not-sent",
        message: "refused",
      });
      assert.equal(step.kind, "choose-again");
      assert.equal(exchange.attemptsLeft, 2);
      assert.equal(exchange.mayHaveRun, false);
    });
  });
});
