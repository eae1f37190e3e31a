import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { createMember } from "../tests/member_fixture.ts";
import { toRegionId } from "../ids/mod.ts";
import { Offer } from "./offer.ts";
import type { AttemptOutcome } from "./run_attempt.ts";
import type { SentPlace } from "./settle_attempt.ts";

const PLACE = {
  kind: "away",
  member: createMember("b"),
  region: toRegionId("north"),
} as unknown as SentPlace;
const REFUSED: AttemptOutcome = {
  kind: "rejected",
  isOtherServer: false,
  sends: 1,
};

function start() {
  const clock = new VirtualClock();
  const seen: string[] = [];
  let end: (outcome: AttemptOutcome) => void = () => {};
  let answer = () => {};
  const offer = new Offer({
    clock,
    place: PLACE,
    send: ({ onTaken, signal }) => {
      answer = onTaken;
      signal.addEventListener("abort", () => seen.push("stopped"));
      return new Promise((resolve) => (end = resolve));
    },
    settle: ({ kind }) => seen.push(`settled ${kind}`),
  }, {
    onTaken: () => seen.push("taken"),
    onRefused: () => seen.push("refused"),
  });
  return {
    answer: () => answer(),
    clock,
    end: async (outcome: AttemptOutcome) => {
      end(outcome);
      await clock.advance(0);
    },
    offer,
    seen,
  };
}

describe("Offer", () => {
  describe("when the second place refuses the call", () => {
    it("leaves it with the first one", async () => {
      const { clock, end, seen } = start();
      await clock.advance(100);
      await end(REFUSED);
      await clock.advance(1_000);
      assert.deepEqual(seen, ["settled rejected", "refused"]);
    });
  });

  describe("when the second place answers", () => {
    it("hands the call over at once and once", async () => {
      const { answer, clock, end, seen } = start();
      answer();
      assert.deepEqual(seen, ["taken"]);
      await clock.advance(1_000);
      await end({ kind: "answered", status: 200 });
      assert.deepEqual(seen, ["taken"]);
    });
  });

  describe("when the second place neither refuses nor answers", () => {
    it("hands the call over before two servers work on it for 400 ms", async () => {
      const { clock, seen } = start();
      await clock.advance(399);
      assert.deepEqual(seen, ["taken"]);
    });
  });

  describe("when the first place answers after all", () => {
    it("stops the second one, and settles what it cost", async () => {
      const { answer, clock, end, offer, seen } = start();
      await clock.advance(100);
      offer.withdraw();
      await end({ kind: "given-up" });
      answer();
      await clock.advance(1_000);
      assert.deepEqual(seen, ["stopped", "settled given-up"]);
    });
  });

  describe("when the first place fails", () => {
    it("goes on with the second one, whatever it says", async () => {
      const { clock, end, offer, seen } = start();
      offer.release();
      await end(REFUSED);
      await clock.advance(1_000);
      assert.deepEqual(seen, []);
      assert.deepEqual(await offer.outcome, REFUSED);
    });
  });
});
