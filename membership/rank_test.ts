import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { measureHeapBytes } from "../tests/measure_heap.ts";
import { computeUncachedWeight, computeWeight } from "./rank.ts";

const KEYS = 2_000;
const KEY_LENGTH = 16_000;
const MAX_GROWTH_BYTES = 4_000_000;

/** Returns a text as a parser makes it; padded ones share memory. */
const createFlatText = (filling: string) =>
  Buffer.alloc(KEY_LENGTH, filling).toString("latin1");

describe("computeWeight()", () => {
  // Keys that list a prompt took up to 11 KB each in a cache that counted entries only.
  it("keeps no long keys in its cache", () => {
    const before = measureHeapBytes();
    Array.from({ length: KEYS }, (_, at) => {
      const key = createFlatText(`${at} `);
      assert.equal(
        computeWeight(key, "shard"),
        computeUncachedWeight(key, "shard"),
      );
    });
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
  });
});
