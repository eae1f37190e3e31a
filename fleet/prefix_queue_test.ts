import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { toBackendId } from "../ids/mod.ts";
import { PrefixQueue } from "./prefix_queue.ts";

const SERVER = toBackendId("s1");

function createShared(part: string) {
  return { server: SERVER, part, tokens: 500 };
}

describe("PrefixQueue", () => {
  it("takes each shared part once, and the newest ones first", () => {
    const queue = new PrefixQueue(10);
    queue.add(["a", "b", "a", "c"].map(createShared));
    const take = () => queue.take(2).map(({ part }) => part);
    assert.deepEqual(take(), ["a", "c"]);
    assert.deepEqual(take(), ["b"]);
    assert.deepEqual(take(), []);
  });

  it("drops the oldest parts beyond its capacity", () => {
    const queue = new PrefixQueue(2);
    queue.add(["a", "b", "c"].map(createShared));
    assert.deepEqual(queue.take(9).map(({ part }) => part), ["b", "c"]);
  });

  it("sums the parts that no other call begins with", () => {
    const queue = new PrefixQueue(2);
    const own = { server: SERVER, part: undefined, tokens: 300 };
    queue.add([own, createShared("a"), own]);
    assert.deepEqual(queue.take(1), [
      { ...own, tokens: 600 },
      createShared("a"),
    ]);
    assert.deepEqual(queue.take(1), []);
  });
});
