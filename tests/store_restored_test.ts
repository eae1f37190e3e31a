import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { putKey, startFollower } from "./follower_fixture.ts";

/** Time in which a change must be in force that the store accepted after its return, in milliseconds. */
const IN_FORCE_MS = 500;
/** Time in which servers and operators have written again what was lost, in milliseconds. */
const WRITTEN_AGAIN_MS = 2_000;

function start(store: MemoryStore, clock: VirtualClock, isRelay = true) {
  const { ended, ...started } = startFollower({
    clock,
    store,
    isRelay: () => isRelay,
  });
  return { ...started, end: () => ended.abort() };
}

/** A follower, and a store that may come back from a copy. */
function create() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const first = start(store, clock);
  const put = (key: string, value: string | undefined) =>
    putKey(store, key, value);
  const run = async (ms: number) => {
    for (let ranMs = 0; ranMs < ms; ranMs += 100) {
      await clock.advance(100);
      first.follower.sweep();
    }
  };
  return { ...first, clock, store, put, run };
}

/** A store with a configuration and two servers, and writes after the copy of it. */
async function createRestored(
  writeAfterCopy: (world: ReturnType<typeof create>) => Promise<void>,
) {
  const world = create();
  await world.put("config", "5");
  await world.put("server/s1", "ready 1");
  await world.put("server/s2", "ready 1");
  await world.run(500);
  const backup = world.store.createBackup();
  await writeAfterCopy(world);
  await world.run(500);
  world.store.restoreBackup(backup);
  await world.run(100);
  return world;
}

describe("a store that came back from an older copy", () => {
  it("has its next changes in force at once: a configuration, a server that leaves", async () => {
    const { end, listUsable, put, run, versions } = await createRestored(
      async ({ put }) => {
        for (const slot of ["a", "b", "c", "d"]) await put(`other/${slot}`, "");
      },
    );
    await put("config", "6");
    await put("server/s2", "draining 2");
    await run(IN_FORCE_MS);
    assert.deepEqual(versions, [5, 6]);
    assert.deepEqual(listUsable(), ["s1"]);
    end();
  });

  it("does not bring an older configuration back, here or at an instance that starts", async () => {
    const { clock, end, follower, put, run, store, versions } =
      await createRestored(({ put }) => put("config", "6"));
    const second = start(store, clock);
    await run(IN_FORCE_MS);
    second.follower.applyCopy(
      follower.createCopy(second.follower.known.store),
    );
    assert.deepEqual(versions, [5, 6]);
    assert.equal(second.follower.known.configurationVersion, 6);
    await put("config", "6");
    await put("config", "7");
    await run(IN_FORCE_MS);
    assert.deepEqual(versions, [5, 6, 7]);
    assert.equal(second.follower.known.configurationVersion, 7);
    second.end();
    end();
  });

  it("does not bring a server back that had said that it leaves", async () => {
    const { end, listUsable, put, run } = await createRestored(
      ({ put }) => put("server/s2", "draining 2"),
    );
    await run(IN_FORCE_MS);
    assert.deepEqual(listUsable(), ["s1"]);
    await run(60_000);
    assert.deepEqual(listUsable(), ["s1"]);
    await put("server/s2", "draining 2");
    await run(IN_FORCE_MS);
    assert.deepEqual(listUsable(), ["s1"]);
    end();
  });

  it("does not bring a server back that had left, unless it writes again", async () => {
    const { end, listUsable, put, run } = await createRestored(
      async ({ put, run }) => {
        await put("server/s1", undefined);
        await put("server/s2", "draining 2");
        await run(100);
        await put("server/s2", undefined);
      },
    );
    await run(IN_FORCE_MS);
    assert.deepEqual(listUsable(), []);
    await put("server/s1", "ready 2");
    await run(IN_FORCE_MS);
    assert.deepEqual(listUsable(), ["s1"]);
    end();
  });

  it("takes a server that had lapsed as gone no longer than its entry could outlive it", async () => {
    const { end, listUsable, run } = await createRestored(
      ({ put }) => put("server/s1", undefined),
    );
    await run(12_000);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    end();
  });

  it("keeps servers that the copy does not have for as long as they may take to write again", async () => {
    const { end, listUsable, put, run } = await createRestored(
      async ({ put }) => {
        await put("server/s3", "ready 1");
        await put("server/s4", "ready 1");
      },
    );
    await run(WRITTEN_AGAIN_MS);
    assert.deepEqual(listUsable(), ["s1", "s2", "s3", "s4"]);
    await put("server/s3", "ready 1");
    await run(4_000);
    assert.deepEqual(listUsable(), ["s1", "s2", "s3"]);
    end();
  });

  it("keeps a failure domain evacuated that the copy does not have, until it is not written again", async () => {
    const { end, listUsable, put, run } = await createRestored(
      ({ put }) => put("evacuated/a", "{}"),
    );
    await run(WRITTEN_AGAIN_MS);
    assert.deepEqual(listUsable(), []);
    await put("evacuated/a", "{}");
    await run(10_000);
    assert.deepEqual(listUsable(), []);
    await put("evacuated/a", undefined);
    await run(IN_FORCE_MS);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    end();
  });

  it("ends an evacuation that nobody writes again", async () => {
    const { end, listUsable, run } = await createRestored(
      ({ put }) => put("evacuated/a", "{}"),
    );
    await run(10_000);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    end();
  });

  it("is followed from its new revisions by an instance that hears of it from another one", async () => {
    const { clock, end, follower, put, run, store } = await createRestored(
      async ({ put }) => {
        for (const slot of ["a", "b", "c", "d"]) await put(`other/${slot}`, "");
      },
    );
    const other = start(store, clock, false);
    await run(IN_FORCE_MS);
    await put("server/s2", "draining 2");
    await put("config", "6");
    await run(IN_FORCE_MS);
    const { store: known } = other.follower.known;
    assert.ok(other.follower.applyCopy(follower.createCopy(known)));
    assert.equal(other.follower.known.configurationVersion, 6);
    assert.deepEqual(other.listUsable(), ["s1"]);
    other.end();
    end();
  });

  it("is told of by an instance that knows it, whatever the revisions of before were", async () => {
    const world = create();
    const { clock, end, follower, put, run, store } = world;
    await put("config", "5");
    await put("server/s1", "ready 1");
    const other = start(store, clock, false);
    await run(IN_FORCE_MS);
    const backup = store.createBackup();
    for (const slot of ["a", "b", "c"]) await put(`other/${slot}`, "");
    await run(IN_FORCE_MS);
    other.follower.applyCopy(follower.createCopy(other.follower.known.store));
    const before = other.follower.createCopy({ era: 0, revision: 0 });
    store.restoreBackup(backup);
    await put("server/s1", "draining 2");
    await run(IN_FORCE_MS);
    const copy = follower.createCopy(other.follower.known.store);
    assert.ok(other.follower.applyCopy(copy));
    assert.deepEqual(other.listUsable(), []);
    // What an instance still tells that does not know of it says nothing new.
    assert.equal(follower.applyCopy(before), false);
    assert.deepEqual(world.listUsable(), []);
    other.end();
    end();
  });
});
