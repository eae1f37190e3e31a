import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventScanner, isEventStart } from "./event_scanner.ts";

/** Scans a text in chunks of a size, and returns the ends of events in the whole text. */
function scan(text: string, chunkSize: number) {
  const scanner = new EventScanner();
  const ends: number[] = [];
  for (let at = 0; at < text.length; at += chunkSize) {
    const chunk = Buffer.from(text.slice(at, at + chunkSize));
    ends.push(...scanner.scan(chunk).map((end) => at + end));
  }
  return { ends, isInsideEvent: scanner.isInsideEvent };
}

describe("EventScanner", () => {
  ["\n", "\r", "\r\n"].forEach((lineEnd) => {
    describe(`when lines end with ${JSON.stringify(lineEnd)}`, () => {
      const event = ["id: 1", "data: x", "", ""].join(lineEnd);

      it("finds the end of each event", () => {
        const { ends, isInsideEvent } = scan(event + event, 1_000);
        assert.deepEqual(ends, [event.length, 2 * event.length]);
        assert.equal(isInsideEvent, false);
      });

      it("tells for every cut whether it is within an event, however the bytes arrive", () => {
        const stream = event + event;
        // A CR that ends a blank line ends its event, whether or not an LF follows.
        const blankLine = lineEnd === "\r\n" ? 1 : 0;
        for (let cut = 0; cut <= stream.length; cut++) {
          const isBetween = [0, event.length, 2 * event.length].some((end) =>
            cut === end || cut === end - blankLine && end > 0
          );
          [1, 3, 1_000].forEach((chunkSize) => {
            const { isInsideEvent } = scan(stream.slice(0, cut), chunkSize);
            assert.equal(isInsideEvent, !isBetween, `cut at ${cut}`);
          });
        }
      });
    });
  });

  it("counts whole comments and blank lines after an event as no part of the next one", () => {
    assert.equal(scan("data: x\n\n: wait\n\n\n", 4).isInsideEvent, false);
    assert.equal(scan("data: x\n\n: wait\n", 4).isInsideEvent, false);
    assert.equal(scan("data: x\n\n: wa", 4).isInsideEvent, true);
  });
});

describe("isEventStart()", () => {
  ["data: x", "id:1\n", ": comment", "\n\ndata", "da", "retry: 10"].forEach(
    (text) => {
      it(`takes ${JSON.stringify(text)} for the start of a stream`, () =>
        assert.ok(isEventStart(Buffer.from(text))));
    },
  );
  ["whole", "database", "{", "<p>"].forEach((text) => {
    it(`does not take ${JSON.stringify(text)} for the start of a stream`, () =>
      assert.ok(!isEventStart(Buffer.from(text))));
  });
});
