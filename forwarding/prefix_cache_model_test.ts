import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MAX_PREFIX_KEY_LENGTH } from "../fleet/mod.ts";
import { toBackendId } from "../ids/mod.ts";
import type { PromptPart } from "./call_header_codec.ts";
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

describe("toKeyedParts() of a prompt with many parts", () => {
  const createParts = (count: number, firstId = "1"): readonly PromptPart[] =>
    Array.from({ length: count }, (_, at) => ({
      id: at === 0 ? firstId : (0x10000000 + at).toString(16),
      tokens: at % 3 === 2 ? 8 : 256,
    }));

  // A prompt of 1,231 parts took 3.2 MB of keys, and a burst of such calls filled the heap.
  it("bounds the length of each key", () => {
    const parts = toKeyedParts(createParts(1_231));
    assert.equal(parts.length, 821);
    parts.forEach(({ key }) =>
      assert.ok(key.length <= MAX_PREFIX_KEY_LENGTH, key)
    );
    assert.equal(new Set(parts.map(({ key }) => key)).size, parts.length);
  });

  it("bounds the key of a part with a long identifier, also of one that an engine reports", () => {
    const id = "a".repeat(10_000);
    const [part] = toKeyedParts([{ id, tokens: 800 }]);
    const [cached] = toCachedPrefixes(SERVER, [{ id, tokens: 800 }]);
    assert.ok(part!.key.length <= MAX_PREFIX_KEY_LENGTH);
    assert.equal(cached!.part, part!.key);
  });

  it("gives equal keys to equal prefixes, and others after an early part that differs", () => {
    const long = toKeyedParts(createParts(60));
    const short = toKeyedParts(createParts(45));
    const other = toKeyedParts(createParts(60, "2"));
    const keys = long.map(({ key }) => key);
    assert.deepEqual(
      short.map(({ key }) => key),
      keys.slice(0, short.length),
    );
    other.forEach(({ key }) => assert.ok(!keys.includes(key)));
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

describe("PrefixCacheModel with many small parts", () => {
  const OTHER = toBackendId("s2");
  const record = (
    model: PrefixCacheModel,
    server: typeof SERVER,
    count: number,
    name: string,
  ) =>
    Array.from({ length: count }, (_, at) => `${name}${at}`)
      .forEach((key) => model.record(server, { key, tokens: 1 }, Infinity));
  const hasCached = (model: PrefixCacheModel, key: string) =>
    model.countCachedTokens(SERVER, [{ key, tokens: 1, isShared: true }]) > 0;

  // Parts of one token, as another instance may report them, took memory without bound.
  it("bounds their number over all servers", () => {
    const model = new PrefixCacheModel();
    record(model, SERVER, 65_537, "a");
    assert.equal(hasCached(model, "a0"), false);
    assert.equal(hasCached(model, "a65536"), true);
    record(model, OTHER, 1, "b");
    assert.equal(hasCached(model, "a32768"), false);
    assert.equal(hasCached(model, "a32769"), true);
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
