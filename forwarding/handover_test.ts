import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { toRegionId } from "../ids/mod.ts";
import { Handover, type HandoverParts } from "./handover.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { SendDestination } from "./settle_attempt.ts";

const DESTINATION = {
  kind: "remote",
  member: createMember("b"),
  region: toRegionId("north"),
} as unknown as SendDestination;
const REFUSED: AttemptOutcome = {
  kind: "rejected",
  isMisdirected: false,
  sends: 1,
};

/** Time for which both destinations may have the call, in milliseconds. */
const OVERLAP_MS = 200;

function start(options: Pick<HandoverParts, "overlapMs"> = {}) {
  const clock = new VirtualClock();
  const seen: string[] = [];
  let end: (outcome: AttemptOutcome) => void = () => {};
  let answer = () => {};
  let accept = () => {};
  let isFirstLost = false;
  const handover = new Handover({
    clock,
    target: DESTINATION,
    overlapMs: OVERLAP_MS,
    ...options,
    isFirstLost: () => isFirstLost,
    send: ({ onAccepted, onDelivering, signal }) => {
      accept = onAccepted;
      answer = onDelivering;
      return new Promise((resolve) => {
        end = resolve;
        signal.addEventListener("abort", () => {
          seen.push("stopped");
          resolve({ kind: "given-up" });
        });
      });
    },
    settle: ({ kind }) => seen.push(`settled ${kind}`),
    onEnd: (kind) => seen.push(kind),
  }, {
    onHandedOver: () => seen.push("taken over"),
    onRefused: () => seen.push("refused"),
  });
  return {
    answer: () => answer(),
    accept: () => accept(),
    loseFirst: () => (isFirstLost = true),
    clock,
    end: async (outcome: AttemptOutcome) => {
      end(outcome);
      await clock.advance(0);
    },
    handover,
    seen,
  };
}

describe("Handover", () => {
  describe("when the second destination refuses the call", () => {
    it("leaves the call with the first one", async () => {
      const { clock, end, seen } = start();
      await clock.advance(100);
      await end(REFUSED);
      await clock.advance(1_000);
      assert.deepEqual(seen, ["settled rejected", "refused", "refused"]);
    });
  });

  describe("when the second destination answers", () => {
    it("hands the call over immediately and only once", async () => {
      const { answer, clock, end, seen } = start();
      answer();
      assert.deepEqual(seen, ["answered", "taken over"]);
      await clock.advance(1_000);
      await end({ kind: "answered", status: 200 });
      assert.deepEqual(seen, ["answered", "taken over"]);
    });
  });

  describe("when the second destination neither refuses nor answers", () => {
    it("leaves the call with the first one alone before two servers have worked on it for 400 ms", async () => {
      const { clock, seen } = start();
      await clock.advance(399);
      assert.deepEqual(seen, [
        "stopped",
        "settled given-up",
        "not-taken",
        "refused",
      ]);
    });

    it("hands the call over before that if the second one runs it", async () => {
      const { accept, clock, seen } = start();
      accept();
      await clock.advance(399);
      assert.deepEqual(seen, ["taken", "taken over"]);
    });

    it("hands the call over before that if the first one is lost", async () => {
      const { clock, loseFirst, seen } = start();
      loseFirst();
      await clock.advance(399);
      assert.deepEqual(seen, ["taken", "taken over"]);
    });

    it("leaves the call with both where they may work on it together", async () => {
      const { answer, clock, seen } = start({ overlapMs: undefined });
      await clock.advance(10_000);
      assert.deepEqual(seen, []);
      answer();
      assert.deepEqual(seen, ["answered", "taken over"]);
    });
  });

  describe("when the first destination answers after all", () => {
    it("stops the send to the second one and settles it", async () => {
      const { answer, clock, end, handover, seen } = start();
      await clock.advance(100);
      handover.cancel("first-answered");
      await end({ kind: "given-up" });
      answer();
      await clock.advance(1_000);
      assert.deepEqual(seen, [
        "stopped",
        "settled given-up",
        "first-answered",
      ]);
    });
  });

  describe("when the first destination fails", () => {
    it("stays with the second one, whatever its outcome", async () => {
      const { clock, end, handover, seen } = start();
      handover.commit();
      await end(REFUSED);
      await clock.advance(1_000);
      assert.deepEqual(seen, ["first-ended"]);
      assert.deepEqual(await handover.outcome, REFUSED);
    });
  });
});
