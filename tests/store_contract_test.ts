import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { systemClock } from "../adapters/system_clock.ts";
import { PlatformStore } from "../platform/mod.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import type { RevisionedStore } from "../store/mod.ts";

const CLEAN_UPS: (() => void | Promise<void>)[] = [];
afterEach(async () => {
  for (const cleanUp of CLEAN_UPS.splice(0)) await cleanUp();
});

/** An implementation under test. */
interface TestedStore {
  readonly store: RevisionedStore;
  /** The store behind it, in which tests cause faults. */
  readonly memory: MemoryStore;
}

const TESTED_STORES: Readonly<Record<string, () => Promise<TestedStore>>> = {
  "the store in memory": () => {
    const memory = new MemoryStore(systemClock);
    return Promise.resolve({ store: memory, memory });
  },
  "the platform's store": async () => {
    const memory = new MemoryStore(systemClock);
    const standin = await startStoreStandin(memory);
    const store = new PlatformStore(standin.address);
    CLEAN_UPS.push(() => store.close(), () => standin.close());
    return { store, memory };
  },
};

Object.entries(TESTED_STORES).forEach(([name, create]) => {
  describe(name, () => {
    it("writes a key only if the key has the expected revision", async () => {
      const { store } = await create();
      const first = (await store.swap({
        key: "k",
        value: "önë",
        expectedRevision: 0,
      }))._unsafeUnwrap();
      assert.equal(first.kind, "written");
      const again = await store.swap({
        key: "k",
        value: "b",
        expectedRevision: 0,
      });
      assert.deepEqual(again._unsafeUnwrap(), { kind: "conflict" });
      const entry = (await store.read("k"))._unsafeUnwrap();
      assert.equal(entry?.value, "önë");
      assert.equal((await store.read("none"))._unsafeUnwrap(), undefined);
    });

    it("reads all keys with a prefix, over several pages", async () => {
      const { store } = await create();
      for (const key of ["a/1", "a/2", "a/3", "a/4", "a/5", "b/1"]) {
        await store.swap({ key, value: key, expectedRevision: 0 });
      }
      const snapshot = (await store.readSnapshot("a/"))._unsafeUnwrap();
      assert.deepEqual(
        snapshot.entries.map(({ key }) => key),
        ["a/1", "a/2", "a/3", "a/4", "a/5"],
      );
      assert.equal(snapshot.revision, 6);
    });

    it("reports changes and deletions after a revision", async () => {
      const { store } = await create();
      await store.swap({ key: "a", value: "1", expectedRevision: 0 });
      await store.swap({ key: "a", value: "2", expectedRevision: 1 });
      await store.swap({ key: "a", value: undefined, expectedRevision: 2 });
      const changes = (await store.awaitChanges({
        prefix: "",
        afterRevision: 1,
        waitMs: 10,
      }))._unsafeUnwrap();
      assert.deepEqual(changes, {
        kind: "changes",
        events: [
          { key: "a", value: "2", revision: 2 },
          { key: "a", value: undefined, revision: 3 },
        ],
        era: 0,
        revision: 3,
      });
    });

    it("waits for a change, and returns no events when none comes in time", async () => {
      const { store } = await create();
      const waiting = store.awaitChanges({
        prefix: "",
        afterRevision: 0,
        waitMs: 5_000,
      });
      await store.swap({ key: "a", value: "1", expectedRevision: 0 });
      const changes = (await waiting)._unsafeUnwrap();
      assert.equal(changes.kind === "changes" && changes.events.length, 1);
      const none = await store.awaitChanges({
        prefix: "",
        afterRevision: 1,
        waitMs: 10,
      });
      assert.deepEqual(none._unsafeUnwrap(), {
        kind: "changes",
        events: [],
        era: 0,
        revision: 1,
      });
    });

    it("reports that it has compacted the history", async () => {
      const { store, memory } = await create();
      await store.swap({ key: "a", value: "1", expectedRevision: 0 });
      memory.compact();
      const changes = await store.awaitChanges({
        prefix: "",
        afterRevision: 0,
        waitMs: 10,
      });
      assert.deepEqual(changes._unsafeUnwrap(), {
        kind: "compacted",
        era: 0,
      });
    });

    it("reports a new era after a restore from a backup, and assigns revisions a second time", async () => {
      const { store, memory } = await create();
      await store.swap({ key: "a", value: "1", expectedRevision: 0 });
      const backup = memory.createBackup();
      await store.swap({ key: "a", value: "2", expectedRevision: 1 });
      await store.swap({ key: "b", value: "3", expectedRevision: 0 });
      memory.restoreBackup(backup);
      const snapshot = (await store.readSnapshot(""))._unsafeUnwrap();
      assert.deepEqual(
        { ...snapshot, entries: snapshot.entries.map(({ value }) => value) },
        { entries: ["1"], era: 1, revision: 1 },
      );
      const beyond = await store.awaitChanges({
        prefix: "",
        afterRevision: 3,
        waitMs: 10,
      });
      assert.deepEqual(beyond._unsafeUnwrap(), { kind: "compacted", era: 1 });
      const written = await store.swap({
        key: "c",
        value: "4",
        expectedRevision: 0,
      });
      assert.deepEqual(written._unsafeUnwrap(), {
        kind: "written",
        revision: 2,
      });
    });

    it("deletes the keys of a lease that is revoked", async () => {
      const { store } = await create();
      const leaseId = (await store.grantLease(5_000))._unsafeUnwrap();
      await store.swap({ key: "a", value: "1", expectedRevision: 0, leaseId });
      assert.equal((await store.renewLease(leaseId))._unsafeUnwrap(), true);
      await store.revokeLease(leaseId);
      assert.equal((await store.renewLease(leaseId))._unsafeUnwrap(), false);
      assert.equal((await store.read("a"))._unsafeUnwrap(), undefined);
    });

    it("fails while it is down, and writes nothing", async () => {
      const { store, memory } = await create();
      memory.setDown(true);
      const written = await store.swap({
        key: "a",
        value: "1",
        expectedRevision: 0,
      });
      assert.ok(written.isErr());
      memory.setDown(false);
      assert.equal((await store.read("a"))._unsafeUnwrap(), undefined);
    });
  });
});
