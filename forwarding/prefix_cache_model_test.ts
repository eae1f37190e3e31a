import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import {
  PrefixCacheModel,
  toCachedPrefixes,
  toKeyedParts,
} from "./prefix_cache_model.ts";

const SERVER = toBackendId("s1");

describe("toKeyedParts()", () => {
  it("keys a part by all parts before it, and omits small ones", () => {
    const placed = toKeyedParts([
      { id: "a", tokens: 800 },
      { id: "b", tokens: 10 },
      { id: "c", tokens: 500 },
    ]);
    assert.deepEqual(placed, [
      { key: "a", tokens: 800, isShared: true },
      { key: "a.b.c", tokens: 500, isShared: false },
    ]);
  });
});

describe("PrefixCacheModel", () => {
  it("counts a part as cached only together with all parts before it", () => {
    const memory = new PrefixCacheModel();
    const parts = toKeyedParts([{ id: "a", tokens: 800 }, {
      id: "b",
      tokens: 500,
    }]);
    memory.record(SERVER, parts[1]!, 10_000);
    assert.equal(memory.countCachedTokens(SERVER, parts), 0);
    memory.record(SERVER, parts[0]!, 10_000);
    assert.equal(memory.countCachedTokens(SERVER, parts), 1_300);
  });

  it("evicts the least recently used part", () => {
    const memory = new PrefixCacheModel();
    const [a] = toKeyedParts([{ id: "a", tokens: 600 }]);
    const [b] = toKeyedParts([{ id: "b", tokens: 600 }]);
    const [c] = toKeyedParts([{ id: "c", tokens: 600 }]);
    memory.record(SERVER, a!, 1_300);
    memory.record(SERVER, b!, 1_300);
    memory.record(SERVER, a!, 1_300);
    memory.record(SERVER, c!, 1_300);
    assert.equal(memory.countCachedTokens(SERVER, [a!]), 600);
    assert.equal(memory.countCachedTokens(SERVER, [b!]), 0);
  });
});

describe("toCachedPrefixes()", () => {
  it("omits small parts and puts the largest last, so that it is evicted last", () => {
    const engine = toBackendId("e1");
    const prefixes = toCachedPrefixes(engine, [
      { id: "large", tokens: 13_000 },
      { id: "tiny", tokens: 40 },
      { id: "own", tokens: 4_000 },
    ]);
    assert.deepEqual(prefixes.map(({ part }) => part), ["own", "large"]);
    const memory = new PrefixCacheModel();
    prefixes.forEach(({ part, tokens }) =>
      memory.record(engine, { key: part!, tokens }, 13_500)
    );
    const parts = toKeyedParts([{ id: "large", tokens: 13_000 }]);
    assert.equal(memory.countCachedTokens(engine, parts), 13_000);
  });
});
