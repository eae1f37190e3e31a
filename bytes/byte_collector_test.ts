import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { measureHeapBytes } from "../tests/measure_heap.ts";
import { ByteCollector } from "./byte_collector.ts";

const SMALL_PIECES = 300_000;

function collect(pieces: readonly Uint8Array[]): ByteCollector {
  const collector = new ByteCollector();
  pieces.forEach((piece) => collector.append(Buffer.from(piece)));
  return collector;
}

describe("ByteCollector", () => {
  it("returns what was added, in its order, and begins anew", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ size: "medium" }), { size: "large" }),
        (pieces) => {
          const collector = collect(pieces);
          const expected = Buffer.concat(pieces);
          assert.equal(collector.size, expected.length);
          assert.ok(collector.take().equals(expected));
          assert.equal(collector.take().length, 0);
        },
      ),
    );
  });

  it("returns a single piece without a copy", () => {
    const piece = Buffer.alloc(20_000, 1);
    const collector = new ByteCollector();
    collector.append(piece);
    assert.equal(collector.take(), piece);
  });

  // Each piece of one byte took some 200 bytes, or kept a whole buffer of its connection.
  it("takes at most twice the bytes, in pieces of one byte that are views of large buffers", () => {
    const before = measureHeapBytes();
    const collector = new ByteCollector();
    for (let at = 0; at < SMALL_PIECES; at++) {
      collector.append(Buffer.alloc(4_096, at % 256).subarray(0, 1));
    }
    const growthBytes = measureHeapBytes() - before;
    assert.ok(growthBytes < 2 * SMALL_PIECES + 20_000, `${growthBytes} bytes`);
    assert.equal(collector.take()[513], 1);
  });
});
