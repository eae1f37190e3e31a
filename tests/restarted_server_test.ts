// Guards against ignoring the start time of an entry: a restarted engine was credited with the cached prompts and rate of the lost process.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createServerDocument,
  SERVER_REGION,
  startDocumentFollower,
} from "./document_fixture.ts";
import { STORE_START } from "../store/mod.ts";

const KEY = "servers/e1";

/** Returns the entry of a server that started at `born`, with some fields changed. */
function createEntry(
  born: number,
  changes: Readonly<Record<string, unknown>> = {},
) {
  return createServerDocument({ born, ...changes });
}

async function startWithServer(born = 1_000) {
  const documents = startDocumentFollower();
  await documents.put(KEY, createEntry(born));
  const findOnlyUsable = () => {
    const usable = documents.listUsable();
    assert.equal(usable.length, 1);
    return usable[0]!;
  };
  return { ...documents, findOnlyUsable };
}

describe("a server that starts again under its name", () => {
  it("is another server with the same name", async () => {
    const { put, findOnlyUsable, registry, end } = await startWithServer();
    const before = findOnlyUsable().entry;
    await put(KEY, createEntry(2_000));
    const after = findOnlyUsable().entry;
    assert.notEqual(after.id, before.id);
    assert.equal(after.name, before.name);
    assert.equal(registry.find(before.id), undefined);
    end();
  });

  it("stays the same server while it writes its entry again", async () => {
    const { put, findOnlyUsable, end } = await startWithServer();
    const before = findOnlyUsable().entry;
    await put(KEY, createEntry(1_000, { sequence: 2 }));
    assert.equal(findOnlyUsable().entry.id, before.id);
    end();
  });

  it("is cold for the warm-up time in its new entry", async () => {
    const { clock, put, findOnlyUsable, end } = await startWithServer();
    await put(KEY, createEntry(2_000, { warmupRemainingMs: 3_000 }));
    assert.ok(findOnlyUsable().coldUntilMs > clock.nowMs() + 2_000);
    end();
  });

  it("twice within one watch of the store counts as its last start", async () => {
    const { clock, follower, findOnlyUsable, end } = await startWithServer();
    const revision = follower.known.store.revision;
    follower.applyCopy({
      era: 0,
      configurationVersion: 0,
      revision: revision + 3,
      afterRevision: revision,
      entries: [{
        key: KEY,
        value: JSON.stringify(createEntry(3_000)),
        revision: revision + 3,
      }],
      removed: [{ key: KEY, revision: revision + 1 }],
      isAfterOutage: false,
    });
    await clock.advance(1);
    assert.match(findOnlyUsable().entry.id, /^e1@/);
    assert.equal(findOnlyUsable().entry.startedMs, 3_000);
    end();
  });

  it("at another address and for another service leaves nothing of its first start", async () => {
    const { put, listUsable, registry, end } = await startWithServer();
    const moved = { address: "10.0.0.2:8080", service: "other" };
    await put(KEY, createEntry(2_000, moved));
    assert.deepEqual(listUsable(), []);
    const [other] = registry.listUsable("other", SERVER_REGION);
    assert.equal(other?.entry.address, "10.0.0.2:8080");
    end();
  });

  it("during an evacuation gets no calls, and counts as its last start when that ends", async () => {
    const { put, listUsable, findOnlyUsable, registry, end } =
      await startWithServer();
    await put("op/evacuate/north-a", "{}");
    await put(KEY, createEntry(2_000));
    assert.deepEqual(listUsable(), []);
    await put("op/evacuate/north-a", undefined);
    assert.equal(findOnlyUsable().entry.startedMs, 2_000);
    assert.equal(registry.servers.length, 1);
    end();
  });

  it("gets calls, though its earlier start was draining", async () => {
    const { put, listUsable, findOnlyUsable, end } = await startWithServer();
    await put(KEY, createEntry(1_000, { state: "draining" }));
    assert.deepEqual(listUsable(), []);
    await put(KEY, createEntry(2_000));
    assert.equal(findOnlyUsable().entry.startedMs, 2_000);
    end();
  });

  describe("when a write of an earlier start arrives late", () => {
    it("changes neither server nor address", async () => {
      const { put, findOnlyUsable, end } = await startWithServer(2_000);
      const before = findOnlyUsable().entry;
      await put(KEY, createEntry(1_000, { address: "10.0.0.9:8080" }));
      assert.equal(findOnlyUsable().entry.id, before.id);
      assert.equal(findOnlyUsable().entry.address, before.address);
      end();
    });

    // An engine whose clock went back looks the same, so that draining and cold times count: caution harms no caller.
    it("still marks the server as draining or cold", async () => {
      const { clock, put, listUsable, findOnlyUsable, end } =
        await startWithServer(2_000);
      await put(KEY, createEntry(1_000, { warmupRemainingMs: 3_000 }));
      assert.ok(findOnlyUsable().coldUntilMs > clock.nowMs() + 2_000);
      await put(KEY, createEntry(1_000, { state: "draining" }));
      assert.deepEqual(listUsable(), []);
      await put(KEY, createEntry(2_000, { sequence: 3 }));
      assert.equal(findOnlyUsable().entry.startedMs, 2_000);
      end();
    });
  });

  describe("when its start is received from a peer", () => {
    it("is the same server as when received from the store", async () => {
      const peer = startDocumentFollower(() => false);
      const first = await startWithServer(2_000);
      peer.follower.applyCopy(first.follower.createCopy(STORE_START));
      assert.deepEqual(
        peer.listUsable().map(({ entry }) => entry.id),
        first.listUsable().map(({ entry }) => entry.id),
      );
      peer.end();
      first.end();
    });
  });
});

describe("a server whose entry has no start time", () => {
  it("has its name as its id", async () => {
    const { put, listUsable, end } = startDocumentFollower();
    await put(KEY, createServerDocument());
    assert.deepEqual(listUsable().map(({ entry }) => entry.id), ["e1"]);
    end();
  });
});
