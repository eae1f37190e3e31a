import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listPromptParts } from "../filters/list_prompt_parts.ts";
import {
  PrefixCacheModel,
  type PromptFacts,
  toKeyedParts,
} from "../forwarding/mod.ts";
import { toBackendId } from "../ids/mod.ts";
import { PLATFORM_HEADER_CODEC } from "../platform/mod.ts";
import { CallContent, CallQuarantine } from "../quarantine/mod.ts";
import { measureHeapBytes } from "./measure_heap.ts";

const CALLS = 2_000;
/** Identifier of the last part, which belongs to the caller alone. */
const OWN_PART = "f".repeat(13_000);
const MAX_GROWTH_BYTES = 4_000_000;
const MESSAGES = 200_000;
/** Maximum number of parts by which a call is known. */
const MAX_PARTS = 1_024;

/** Returns a prompt with a shared part whose identifier has 16 digits. */
function parsePrompt(call: number): PromptFacts {
  const parts = `${String(call).padStart(16, "0")}:300,${OWN_PART}:10`;
  // Texts of the platform's parser share no memory with others.
  const header = Buffer.from(parts).toString("latin1");
  const { prompt } = PLATFORM_HEADER_CODEC.readCall([
    "X-Havenspur-Model",
    "m",
    "X-Havenspur-Token-Counts",
    "1000,10",
    "X-Havenspur-Prompt-Prefix",
    header,
  ]);
  return prompt!;
}

function createContent(call: number): CallContent {
  return new CallContent({
    method: "POST",
    host: "app.example",
    target: "/a",
    body: Buffer.from(String(call)),
    prompt: { model: "m", parts: [parsePrompt(call).parts[0]!.id] },
  });
}

describe("the prompt parts of answered calls", () => {
  // A fingerprint that is part of a header's text would keep all of it in memory.
  it("are remembered without the headers that they came in", () => {
    const quarantine = new CallQuarantine();
    const before = measureHeapBytes();
    for (let call = 0; call < CALLS; call++) {
      quarantine.recordAnswer(createContent(call), 0);
    }
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
    assert.equal(quarantine.quarantinedCount, 0);
  });
});

describe("the key of a prompt's first part", () => {
  // The key was part of a header's text, and each one in a cache kept all of a header.
  it("is remembered without the header that it came in", () => {
    const model = new PrefixCacheModel();
    const server = toBackendId("s1");
    const before = measureHeapBytes();
    for (let call = 0; call < CALLS; call++) {
      const [part] = toKeyedParts(parsePrompt(call).parts);
      model.record(server, part!, Number.POSITIVE_INFINITY);
    }
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
    assert.equal(model.countCachedTokens(server, []), 0);
  });
});

describe("listPromptParts()", () => {
  // Each of hundreds of thousands of messages was digested, and most digests were not used.
  it("lists only the parts by which a call is known", () => {
    const messages = Array.from({ length: MESSAGES }, (_, at) => at);
    const parts = listPromptParts({ messages });
    assert.equal(parts.length, MAX_PARTS);
    assert.deepEqual(parts[0], listPromptParts({ messages: [0] })[0]);
    assert.deepEqual(
      parts.at(-1),
      listPromptParts({ messages: [MESSAGES - 1] })[0],
    );
  });
});
