import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { toRegionId } from "../ids/mod.ts";
import { Handover } from "./handover.ts";
import type { AttemptOutcome } from "./run_attempt.ts";
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

function start() {
  const clock = new VirtualClock();
  const seen: string[] = [];
  let end: (outcome: AttemptOutcome) => void = () => {};
  let answer = () => {};
  const handover = new Handover({
    clock,
    target: DESTINATION,
    send: ({ onAccepted, signal }) => {
      answer = onAccepted;
      signal.addEventListener("abort", () => seen.push("stopped"));
      return new Promise((resolve) => (end = resolve));
    },
    settle: ({ kind }) => seen.push(`settled ${kind}`),
  }, {
    onAccepted: () => seen.push("taken"),
    onRefused: () => seen.push("refused"),
  });
  return {
    answer: () => answer(),
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
      assert.deepEqual(seen, ["settled rejected", "refused"]);
    });
  });

  describe("when the second destination answers", () => {
    it("hands the call over immediately and only once", async () => {
      const { answer, clock, end, seen } = start();
      answer();
      assert.deepEqual(seen, ["taken"]);
      await clock.advance(1_000);
      await end({ kind: "answered", status: 200 });
      assert.deepEqual(seen, ["taken"]);
    });
  });

  describe("when the second destination neither refuses nor answers", () => {
    it("hands the call over before two servers have worked on it for 400 ms", async () => {
      const { clock, seen } = start();
      await clock.advance(399);
      assert.deepEqual(seen, ["taken"]);
    });
  });

  describe("when the first destination answers after all", () => {
    it("stops the send to the second one and settles it", async () => {
      const { answer, clock, end, handover, seen } = start();
      await clock.advance(100);
      handover.cancel();
      await end({ kind: "given-up" });
      answer();
      await clock.advance(1_000);
      assert.deepEqual(seen, ["stopped", "settled given-up"]);
    });
  });

  describe("when the first destination fails", () => {
    it("stays with the second one, whatever its outcome", async () => {
      const { clock, end, handover, seen } = start();
      handover.commit();
      await end(REFUSED);
      await clock.advance(1_000);
      assert.deepEqual(seen, []);
      assert.deepEqual(await handover.outcome, REFUSED);
    });
  });
});
