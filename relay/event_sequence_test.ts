import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { END_OF_STREAM } from "../engine/mod.ts";
import { createContinuation, DeliveredStream } from "./continuation.ts";
import { EventSequence } from "./event_sequence.ts";

describe("EventSequence", () => {
  it("delivers each event once and in order, however they arrive", () => {
    fc.assert(fc.property(
      fc.integer({ min: 1, max: 40 }),
      fc.array(fc.nat(1_000), { minLength: 100, maxLength: 100 }),
      (count, noise) => {
        const all = Array.from({ length: count }, (_, index) => ({
          attempt: "own",
          index,
          data: index === count - 1 ? END_OF_STREAM : `data-${index}`,
        }));
        const foreign = all.map((event) => ({
          ...event,
          attempt: "other",
          data: "foreign",
        }));
        const arriving = [...all, ...foreign, ...all]
          .map((event, at) => ({ event, order: noise[at % noise.length]! }))
          .sort((a, b) => a.order - b.order)
          .map(({ event }) => event);
        const sequence = new EventSequence("own");
        const delivered = arriving.flatMap((event) => {
          const step = sequence.apply(event);
          return step.kind === "deliver" ? step.data : ["gap"];
        });
        assert.deepEqual(delivered, all.slice(0, -1).map(({ data }) => data));
        assert.ok(sequence.isEnded);
        assert.equal(sequence.counts.foreign, count);
      },
    ));
  });

  it("reports a gap when too many events wait for a lost one", () => {
    const sequence = new EventSequence("own");
    const steps = Array.from(
      { length: 70 },
      (_, index) =>
        sequence.apply({ attempt: "own", index: index + 1, data: "x" }).kind,
    );
    assert.ok(steps.includes("gap"));
  });
});

describe("createContinuation()", () => {
  it("requests the rest of an answer after the delivered text", () => {
    const delivered = new DeliveredStream();
    delivered.record(
      '{"id":"a","choices":[{"delta":{"content":"one "}}]}',
      false,
    );
    const body = {
      model: "m",
      max_tokens: 5,
      messages: [{ role: "user", content: "q" }],
    };
    const continued = createContinuation(body, delivered)!;
    assert.equal(continued.max_tokens, 4);
    assert.deepEqual((continued.messages as unknown[]).at(-1), {
      role: "assistant",
      content: "one ",
    });
    const renamed = delivered.record('{"id":"b","choices":[]}', true);
    assert.equal((JSON.parse(renamed) as { id: string }).id, "a");
  });

  it("returns nothing for answers that cannot be joined", () => {
    const delivered = new DeliveredStream();
    delivered.record('{"choices":[{"delta":{"content":"one "}}]}', false);
    assert.equal(
      createContinuation({ n: 2, messages: [] }, delivered),
      undefined,
    );
    assert.equal(
      createContinuation({ tools: [], messages: [] }, delivered),
      undefined,
    );
    assert.equal(
      createContinuation({ max_tokens: 1, messages: [] }, delivered),
      undefined,
    );
  });
});
