// Guards against two messages that crash engines of `havenspurd` in turn.
import { describe, it } from "node:test";
import { assertBothRulesHold } from "./crashing_call_fixture.ts";

describe("calls that differ", () => {
  it("and contain one of two messages that crash engines are soon sent to engines no more, and those with the same first message are served", async (context) => {
    await assertBothRulesHold(
      (nth) => [{ role: "user", content: `bad ${nth % 2}` }],
      (figures) => context.diagnostic(figures),
    );
  });
});
