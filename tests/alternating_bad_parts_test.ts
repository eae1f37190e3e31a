// Guards against two prompt parts that crash servers in turn: the evidence against one hid the other.
import { describe, it } from "node:test";
import {
  assertBothRules,
  FIRST_PART,
  formatFigures,
  playScenario,
  type Scenario,
} from "./prompt_part_fixture.ts";

const BAD_PARTS = ["bad 0", "bad 1"] as const;

const ALTERNATING: Scenario = {
  toParts: (nth) => [FIRST_PART, BAD_PARTS[nth % 2]!],
  badParts: BAD_PARTS,
  intervalMs: 300,
};

/** How many calls and servers a run loses depends on which instances and servers they meet. */
const SEEDS = Array.from({ length: 12 }, (_, at) => at + 1);

describe("two prompt parts that crash servers in turn", () => {
  SEEDS.forEach((seed) =>
    it(`are soon sent to servers no more, and sound calls with the same first part are served, seed ${seed}`, async (context) => {
      const played = await playScenario({ ...ALTERNATING, fleet: { seed } });
      context.diagnostic(formatFigures(played));
      assertBothRules(played);
    })
  );
});
