// Guards against a prompt part that crashes servers at the end of a long prompt: only the first 64 parts counted.
import { describe, it } from "node:test";
import {
  assertBothRules,
  BAD_PART,
  FIRST_PART,
  formatFigures,
  playScenario,
  type Scenario,
} from "./prompt_part_fixture.ts";

/** Returns a prompt of many parts with the bad one at a place, from 0. */
function toLongPrompt(
  length: number,
  badAt: number,
  toPart: (at: number) => string = (at) => `long ${at}`,
): readonly string[] {
  return Array.from({ length }, (_, at) => {
    if (at === 0) return FIRST_PART;
    return at === badAt ? BAD_PART : toPart(at);
  });
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  "the last of 150": { toParts: () => toLongPrompt(150, 149) },
  "the last of 150 that are new": {
    toParts: (nth) => toLongPrompt(150, 149, (at) => `new ${nth} ${at}`),
  },
  "the last of 150 that sound calls share": {
    toParts: () => toLongPrompt(150, 149),
    toSoundParts: () => toLongPrompt(149, 149),
  },
  "the last of 150 of five subjects": {
    toParts: (nth) => toLongPrompt(150, 149, (at) => `long ${nth % 5} ${at}`),
  },
};

describe("a prompt part that crashes servers", () => {
  Object.entries(SCENARIOS).forEach(([name, scenario]) =>
    describe(`when it is ${name}`, () => {
      it("is soon sent to servers no more, and sound calls with the same first part are served", async (context) => {
        const played = await playScenario(scenario);
        context.diagnostic(formatFigures(played));
        assertBothRules(played);
      });
    })
  );
});
