import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { VirtualClock } from "../clock/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { putKey, startFollower } from "./follower_fixture.ts";

/** Time within which a change that the restored store accepts must be in force, in milliseconds. */
const IN_FORCE_WITHIN_MS = 500;
/** Time within which servers and operators write again what the restore lost, in milliseconds. */
const WRITTEN_AGAIN_WITHIN_MS = 2_000;

function startInstance(
  store: MemoryStore,
  clock: VirtualClock,
  isRelay = true,
) {
  const { ended, ...started } = startFollower({
    clock,
    store,
    isRelay: () => isRelay,
  });
  return { ...started, end: () => ended.abort() };
}

/** Starts a follower of a new store. */
function startWithStore() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const first = startInstance(store, clock);
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

/** Restores a store with a configuration and two servers to a backup from before some writes. */
async function restoreStore(
  writeAfterBackup: (setup: ReturnType<typeof startWithStore>) => Promise<void>,
) {
  const setup = startWithStore();
  await setup.put("config", "5");
  await setup.put("server/s1", "ready 1");
  await setup.put("server/s2", "ready 1");
  await setup.run(500);
  const backup = setup.store.createBackup();
  await writeAfterBackup(setup);
  await setup.run(500);
  setup.store.restoreBackup(backup);
  await setup.run(100);
  return setup;
}

describe("a store that was restored from an older backup", () => {
  it("has its next changes in force at once: a configuration, a server that drains", async () => {
    const { end, listUsable, put, run, versions } = await restoreStore(
      async ({ put }) => {
        for (const slot of ["a", "b", "c", "d"]) await put(`other/${slot}`, "");
      },
    );
    await put("config", "6");
    await put("server/s2", "draining 2");
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(versions, [5, 6]);
    assert.deepEqual(listUsable(), ["s1"]);
    end();
  });

  it("does not bring back an older configuration, here or at an instance that starts", async () => {
    const { clock, end, follower, put, run, store, versions } =
      await restoreStore(({ put }) => put("config", "6"));
    const second = startInstance(store, clock);
    await run(IN_FORCE_WITHIN_MS);
    second.follower.applyCopy(
      follower.createCopy(second.follower.known.store),
    );
    assert.deepEqual(versions, [5, 6]);
    assert.equal(second.follower.known.configurationVersion, 6);
    await put("config", "6");
    await put("config", "7");
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(versions, [5, 6, 7]);
    assert.equal(second.follower.known.configurationVersion, 7);
    second.end();
    end();
  });

  it("does not bring back a server that was draining", async () => {
    const { end, listUsable, put, run } = await restoreStore(
      ({ put }) => put("server/s2", "draining 2"),
    );
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(listUsable(), ["s1"]);
    await run(60_000);
    assert.deepEqual(listUsable(), ["s1"]);
    await put("server/s2", "draining 2");
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(listUsable(), ["s1"]);
    end();
  });

  it("does not bring back a server that had drained and left, unless it writes again", async () => {
    const { end, listUsable, put, run } = await restoreStore(
      async ({ put, run }) => {
        await put("server/s1", undefined);
        await put("server/s2", "draining 2");
        await run(100);
        await put("server/s2", undefined);
      },
    );
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(listUsable(), []);
    await put("server/s1", "ready 2");
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(listUsable(), ["s1"]);
    end();
  });

  it("brings back a server whose entry had expired, after the time that the entry may outlive the server", async () => {
    const { end, listUsable, run } = await restoreStore(
      ({ put }) => put("server/s1", undefined),
    );
    await run(12_000);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    end();
  });

  it("retains servers that the backup lacks for as long as they may take to write again", async () => {
    const { end, listUsable, put, run } = await restoreStore(
      async ({ put }) => {
        await put("server/s3", "ready 1");
        await put("server/s4", "ready 1");
      },
    );
    await run(WRITTEN_AGAIN_WITHIN_MS);
    assert.deepEqual(listUsable(), ["s1", "s2", "s3", "s4"]);
    await put("server/s3", "ready 1");
    await run(4_000);
    assert.deepEqual(listUsable(), ["s1", "s2", "s3"]);
    end();
  });

  it("retains an evacuation that the backup lacks, and ends it when its rewritten entry is removed", async () => {
    const { end, listUsable, put, run } = await restoreStore(
      ({ put }) => put("evacuated/a", "{}"),
    );
    await run(WRITTEN_AGAIN_WITHIN_MS);
    assert.deepEqual(listUsable(), []);
    await put("evacuated/a", "{}");
    await run(10_000);
    assert.deepEqual(listUsable(), []);
    await put("evacuated/a", undefined);
    await run(IN_FORCE_WITHIN_MS);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    end();
  });

  it("ends an evacuation that the backup lacks and nobody writes again", async () => {
    const { end, listUsable, run } = await restoreStore(
      ({ put }) => put("evacuated/a", "{}"),
    );
    await run(10_000);
    assert.deepEqual(listUsable(), ["s1", "s2"]);
    end();
  });

  it("is followed from its new revisions by an instance that gets copies from another one", async () => {
    const { clock, end, follower, put, run, store } = await restoreStore(
      async ({ put }) => {
        for (const slot of ["a", "b", "c", "d"]) await put(`other/${slot}`, "");
      },
    );
    const other = startInstance(store, clock, false);
    await run(IN_FORCE_WITHIN_MS);
    await put("server/s2", "draining 2");
    await put("config", "6");
    await run(IN_FORCE_WITHIN_MS);
    const { store: known } = other.follower.known;
    assert.ok(other.follower.applyCopy(follower.createCopy(known)));
    assert.equal(other.follower.known.configurationVersion, 6);
    assert.deepEqual(other.listUsable(), ["s1"]);
    other.end();
    end();
  });

  it("replaces the state of an instance with a higher earlier revision, through copies from an instance that follows it", async () => {
    const setup = startWithStore();
    const { clock, end, follower, put, run, store } = setup;
    await put("config", "5");
    await put("server/s1", "ready 1");
    const other = startInstance(store, clock, false);
    await run(IN_FORCE_WITHIN_MS);
    const backup = store.createBackup();
    for (const slot of ["a", "b", "c"]) await put(`other/${slot}`, "");
    await run(IN_FORCE_WITHIN_MS);
    other.follower.applyCopy(follower.createCopy(other.follower.known.store));
    const before = other.follower.createCopy({ era: 0, revision: 0 });
    store.restoreBackup(backup);
    await put("server/s1", "draining 2");
    await run(IN_FORCE_WITHIN_MS);
    const copy = follower.createCopy(other.follower.known.store);
    assert.ok(other.follower.applyCopy(copy));
    assert.deepEqual(other.listUsable(), []);
    // A copy from an instance that does not know of the restore changes nothing.
    assert.equal(follower.applyCopy(before), false);
    assert.deepEqual(setup.listUsable(), []);
    other.end();
    end();
  });
});
