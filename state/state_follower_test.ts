import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { STORE_START } from "../store/mod.ts";
import { putKey, startFollower } from "../tests/follower_fixture.ts";
import { createFullCopy } from "../tests/state_fixture.ts";

function start(isRelay = () => true) {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const started = startFollower({ clock, store, isRelay });
  const put = (key: string, value: string | undefined) =>
    putKey(store, key, value);
  const run = async (ms: number) => {
    await clock.advance(ms);
    started.follower.sweep();
  };
  return { ...started, clock, store, put, run };
}

describe("StateFollower", () => {
  it("puts present documents and changes in force at once", async () => {
    const { put, run, versions, listUsable, ended } = start();
    await put("config", "1");
    await put("server/s1", "ready");
    await run(10);
    await put("config", "3");
    await put("server/s2", "ready");
    await run(10);
    assert.deepEqual(versions, [1, 3]);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    ended.abort();
  });

  it("takes a server out of use when it drains, is removed or evacuated", async () => {
    const { put, run, listUsable, ended } = start();
    await put("server/s1", "ready");
    await put("server/s2", "ready");
    await put("server/s3", "ready");
    await run(10);
    await put("server/s1", "draining");
    await put("server/s2", undefined);
    await run(10);
    assert.deepEqual(listUsable(), ["s3"]);
    await put("evacuated/a", "{}");
    await run(10);
    assert.deepEqual(listUsable(), []);
    await put("evacuated/a", undefined);
    await run(10);
    assert.deepEqual(listUsable(), ["s3"]);
    ended.abort();
  });

  it("never goes back to an older configuration", async () => {
    const { put, run, versions, follower, ended } = start();
    await put("config", "5");
    await run(10);
    await put("config", "4");
    await run(10);
    follower.applyCopy(
      createFullCopy(99, [{ key: "config", value: "2", revision: 98 }]),
    );
    assert.deepEqual(versions, [5]);
    ended.abort();
  });

  it("keeps the last configuration when a document is malformed", async () => {
    const { put, run, versions, follower, ended } = start();
    await put("config", "5");
    await run(10);
    await put("config", "malformed");
    await run(10);
    await put("config", "6");
    await run(10);
    assert.deepEqual(versions, [5, 6]);
    assert.equal(follower.known.configurationVersion, 6);
    ended.abort();
  });

  it("reads everything again when the store has compacted its history", async () => {
    const { put, run, store, listUsable, ended } = start();
    await put("server/s1", "ready");
    await put("server/s2", "ready");
    await run(10);
    store.setDown(true);
    await run(300);
    store.setDown(false);
    await put("server/s1", "draining");
    await put("server/s2", undefined);
    store.compact();
    await run(2_000);
    // A missing entry may have expired during the outage: its server is retained for a while.
    assert.deepEqual(listUsable(), ["s2"]);
    await run(2_100);
    assert.deepEqual(listUsable(), []);
    ended.abort();
  });

  it("retains servers whose entries come back in time after an outage", async () => {
    const { put, run, store, listUsable, ended } = start();
    await put("server/s1", "ready");
    await run(10);
    store.setDown(true);
    await run(1_000);
    store.setDown(false);
    await put("server/s1", undefined);
    await run(1_200);
    assert.deepEqual(listUsable(), ["s1"]);
    await put("server/s1", "ready");
    await run(3_000);
    assert.deepEqual(listUsable(), ["s1"]);
    ended.abort();
  });

  describe("when the store does not answer", () => {
    it("applies a newer copy of a peer, and no older change afterwards", async () => {
      const { put, run, store, versions, follower, listUsable, ended } =
        start();
      await put("config", "1");
      await put("server/s1", "ready");
      await run(10);
      store.setDown(true);
      await run(500);
      const isNewer = follower.applyCopy(createFullCopy(10, [
        { key: "config", value: "7", revision: 9 },
        { key: "server/s1", value: "draining", revision: 10 },
      ]));
      assert.equal(isNewer, true);
      assert.deepEqual(versions, [1, 7]);
      assert.deepEqual(listUsable(), []);
      store.setDown(false);
      await run(6_000);
      assert.deepEqual(listUsable(), []);
      assert.equal(follower.known.store.revision, 10);
      ended.abort();
    });

    it("refuses a copy that is not newer", async () => {
      const { put, run, follower, ended } = start();
      await put("config", "1");
      await run(10);
      assert.equal(follower.applyCopy(follower.createCopy(STORE_START)), false);
      ended.abort();
    });
  });

  describe("when another instance follows the store", () => {
    /** Starts a relay, and an instance that applies its copies. */
    async function startBoth() {
      const relay = start();
      const other = start(() => false);
      await relay.put("config", "1");
      await relay.put("server/s1", "ready");
      await relay.put("server/s2", "ready");
      await relay.run(10);
      const pull = () =>
        other.follower.applyCopy(
          relay.follower.createCopy(other.follower.known.store),
        );
      const end = () => [relay, other].forEach(({ ended }) => ended.abort());
      return { relay, other, pull, end };
    }

    it("calls the store only until a configuration is known", async () => {
      const { other, pull, end } = await startBoth();
      pull();
      await other.run(5_000);
      const { reads, watches } = other.store.counts;
      await other.run(60_000);
      assert.deepEqual(
        [other.store.counts.reads, other.store.counts.watches],
        [reads, watches],
      );
      end();
    });

    it("copies only what was changed or removed", async () => {
      const { relay, other, pull, end } = await startBoth();
      pull();
      await relay.put("server/s1", undefined);
      await relay.put("config", "2");
      await relay.run(300);
      const copy = relay.follower.createCopy(
        other.follower.known.store,
      );
      assert.deepEqual(copy.entries.map(({ key }) => key), ["config"]);
      assert.deepEqual(copy.removed.map(({ key }) => key), ["server/s1"]);
      assert.equal(other.follower.applyCopy(copy), true);
      assert.deepEqual(other.versions, [1, 2]);
      assert.deepEqual(other.listUsable(), ["s2"]);
      end();
    });

    it("copies everything after the relay has read everything again", async () => {
      const { relay, other, pull, end } = await startBoth();
      pull();
      relay.store.setDown(true);
      await relay.run(300);
      await relay.store.compact();
      relay.store.setDown(false);
      await relay.put("server/s1", undefined);
      relay.store.compact();
      await relay.run(3_000);
      const { store } = other.follower.known;
      assert.equal(relay.follower.createCopy(store).afterRevision, 0);
      pull();
      await other.run(2_000);
      assert.deepEqual(other.listUsable(), ["s2"]);
      end();
    });

    it("retains servers for a while whose entries may have expired in an outage", async () => {
      const { relay, other, pull, end } = await startBoth();
      pull();
      relay.store.setDown(true);
      await relay.run(500);
      relay.store.setDown(false);
      await relay.put("server/s1", undefined);
      await relay.run(1_100);
      pull();
      assert.deepEqual(other.listUsable(), ["s1", "s2"]);
      await relay.put("server/s1", "ready");
      await relay.run(300);
      pull();
      await other.run(3_000);
      assert.deepEqual(other.listUsable(), ["s1", "s2"]);
      end();
    });

    it("refuses changes that start after the position known here", async () => {
      const { relay, other, end } = await startBoth();
      const { era, revision } = relay.follower.known.store;
      const copy = relay.follower.createCopy({ era, revision: revision - 1 });
      assert.equal(other.follower.applyCopy(copy), false);
      end();
    });
  });

  it("receives changes that follow each other in few watches", async () => {
    const { put, run, store, listUsable, ended } = start();
    await put("config", "1");
    await run(2_000);
    const before = store.counts.reads;
    const watchesBefore = store.counts.watches;
    for (let round = 0; round < 100; round++) {
      await put(`server/s${round}`, "ready");
      await run(20);
    }
    await run(500);
    assert.equal(listUsable().length, 100);
    const calls = store.counts.reads - before;
    // `put` itself reads 100 times.
    assert.equal(calls, 100);
    assert.ok(store.counts.watches - watchesBefore <= 25);
    ended.abort();
  });
});
