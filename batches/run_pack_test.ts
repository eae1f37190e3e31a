// Guards against items that crash servers, and are refused until the deadline, keeping all other items of a batch from running.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { RESULT_CODES } from "../results/mod.ts";
import type { BatchItem } from "./batch_document.ts";
import type { AnswerMap } from "./merge_answers.ts";
import { type ItemOutcome, runPack } from "./run_pack.ts";

const QUARANTINED: ItemOutcome = {
  status: 503,
  code: RESULT_CODES.CALL_QUARANTINED.code,
  body: {},
};
const ANSWERED: ItemOutcome = { status: 200, code: 0, body: {} };

function createItem(name: string): BatchItem {
  return {
    custom_id: name,
    method: "POST",
    url: "/v1/completions",
    body: {},
    non_idempotent: false,
  };
}

describe("runPack()", () => {
  describe("when items are refused because they crash servers", () => {
    it("runs the other items meanwhile, and ends the refused ones at the deadline", async () => {
      const clock = new VirtualClock();
      const startMs = clock.nowMs();
      const answers: Record<number, AnswerMap[number]> = {};
      const doneMs: number[] = [];
      const names = Array.from(
        { length: 60 },
        (_, nth) => nth < 20 ? `bad ${nth}` : `sound ${nth}`,
      );
      const running = runPack({
        clock,
        runItem: ({ custom_id }) => {
          if (custom_id.startsWith("bad")) return Promise.resolve(QUARANTINED);
          doneMs.push(clock.nowMs() - startMs);
          return Promise.resolve(ANSWERED);
        },
        save: (saved) => {
          Object.assign(answers, saved);
          return Promise.resolve(true);
        },
        canStart: () => true,
        signal: new AbortController().signal,
      }, {
        items: names.map(createItem),
        offset: 0,
        answers: {},
        dueMs: startMs + 60_000,
      });
      await clock.advance(5_000);
      assert.equal(doneMs.length, 40);
      await clock.advance(60_000);
      assert.ok(await running);
      assert.equal(Object.keys(answers).length, 60);
      assert.equal(answers[0]?.status, 504);
    });
  });
});
