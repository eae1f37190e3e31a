// Guards against a call that crashes engine after engine of `havenspurd`: its crashes were known to one call at one daemon.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  ALLOWED_SENDS,
  assertBothRulesHold,
  BAD_MESSAGE,
  callDaemon,
  CRASHING_BODY,
  listCrashingRuns,
  QUARANTINED_AFTER_MS,
  startFleet,
} from "./crashing_call_fixture.ts";

describe("a call that crashes engines", () => {
  it("is no longer sent to engines by any daemon once it has crashed three", async () => {
    const fleet = await startFleet();
    for (let round = 0; round < 36; round++) {
      await callDaemon(
        fleet,
        fleet.daemons[round % fleet.daemons.length]!,
        CRASHING_BODY,
        800,
      );
    }
    const runs = listCrashingRuns(fleet);
    const late = runs.filter((atMs) => atMs > runs[2]! + QUARANTINED_AFTER_MS);
    assert.ok(runs.length >= 3);
    assert.ok(late.length <= ALLOWED_SENDS, `${late.length} of ${runs.length}`);
  });

  it("is tried at no further engine once its own attempts have crashed three", async () => {
    const fleet = await startFleet();
    const [daemon] = fleet.daemons;
    // Both engines of the region crash; the one that is replaced first crashes a second time.
    await callDaemon(fleet, daemon!, CRASHING_BODY, 800);
    await fleet.clock.advance(12_000);
    const code = await callDaemon(fleet, daemon!, CRASHING_BODY, 2_500);
    assert.equal(code, 1401);
    assert.equal(listCrashingRuns(fleet).length, 3);
  });

  it("is refused with a result code of its own, and other calls are served", async () => {
    const fleet = await startFleet();
    for (let round = 0; round < 18; round++) {
      await callDaemon(
        fleet,
        fleet.daemons[round % fleet.daemons.length]!,
        CRASHING_BODY,
        800,
      );
    }
    await fleet.clock.advance(8_000);
    const code = await callDaemon(fleet, fleet.daemons[4]!, CRASHING_BODY);
    const other = { model: "m", prompt: "good", max_tokens: 4 };
    assert.equal(code, 1406);
    assert.equal(await callDaemon(fleet, fleet.daemons[4]!, other), 0);
  });
});

/** Number of other messages of a long conversation. */
const LONG_MESSAGES = 150;

/** Messages between the first and the last one of the nth crashing call. */
const CRASHING_MESSAGES: Readonly<
  Record<string, (nth: number) => readonly object[]>
> = {
  "share a message that crashes engines": () => [BAD_MESSAGE],
  "share a message that crashes engines behind 150 new ones": (nth) => [
    ...Array.from({ length: LONG_MESSAGES }, (_, at) => ({
      role: "user",
      content: `new ${nth} ${at}`,
    })),
    BAD_MESSAGE,
  ],
};

describe("calls that differ", () => {
  Object.entries(CRASHING_MESSAGES).forEach(([name, toMessages]) =>
    it(`and ${name} are soon sent to engines no more, and those with the same first message are served`, async (context) => {
      await assertBothRulesHold(
        toMessages,
        (figures) => context.diagnostic(figures),
      );
    })
  );
});
