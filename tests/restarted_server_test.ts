// What callers saw: after an engine had crashed and come back under its name, calls
// whose prompts it had held went on being sent to it and waited for a long prefill,
// and a cold engine got the rate of a warm one. The evidence: entries before and
// after the crash differed in nothing but the start that they name, which was not
// read, so that all that had been learned of the lost process stood for the new one.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createServerDocument,
  SERVER_REGION,
  startDocumentFollower,
} from "./document_fixture.ts";
import { STORE_START } from "../store/mod.ts";

const KEY = "servers/e1";

/** Entry of a start of the server. */
function createStart(
  born: number,
  changes: Readonly<Record<string, unknown>> = {},
) {
  return createServerDocument({ born, ...changes });
}

async function start(born = 1_000) {
  const documents = startDocumentFollower();
  await documents.put(KEY, createStart(born));
  const readOnly = () => {
    const usable = documents.listUsable();
    assert.equal(usable.length, 1);
    return usable[0]!;
  };
  return { ...documents, readOnly };
}

describe("a server that starts again under its name", () => {
  it("is another server, that answers to the same name", async () => {
    const { put, readOnly, registry, end } = await start();
    const before = readOnly().entry;
    await put(KEY, createStart(2_000));
    const after = readOnly().entry;
    assert.notEqual(after.id, before.id);
    assert.equal(after.name, before.name);
    assert.equal(registry.find(before.id), undefined);
    end();
  });

  it("stays the same server while it writes its entry again", async () => {
    const { put, readOnly, end } = await start();
    const before = readOnly().entry;
    await put(KEY, createStart(1_000, { sequence: 2 }));
    assert.equal(readOnly().entry.id, before.id);
    end();
  });

  it("is cold for as long as its new entry says", async () => {
    const { clock, put, readOnly, end } = await start();
    await put(KEY, createStart(2_000, { warmupRemainingMs: 3_000 }));
    assert.ok(readOnly().coldUntilMs > clock.nowMs() + 2_000);
    end();
  });

  it("twice within one watch is the last of its starts", async () => {
    const { clock, follower, readOnly, end } = await start();
    const revision = follower.known.store.revision;
    follower.applyCopy({
      era: 0,
      configurationVersion: 0,
      revision: revision + 3,
      afterRevision: revision,
      entries: [{
        key: KEY,
        value: JSON.stringify(createStart(3_000)),
        revision: revision + 3,
      }],
      removed: [{ key: KEY, revision: revision + 1 }],
      isAfterOutage: false,
    });
    await clock.advance(1);
    assert.match(readOnly().entry.id, /^e1@/);
    assert.equal(readOnly().entry.startedMs, 3_000);
    end();
  });

  it("at another address and of another service leaves nothing of the first", async () => {
    const { put, listUsable, registry, end } = await start();
    const moved = { address: "10.0.0.2:8080", service: "other" };
    await put(KEY, createStart(2_000, moved));
    assert.deepEqual(listUsable(), []);
    const [other] = registry.listUsable("other", SERVER_REGION);
    assert.equal(other?.entry.address, "10.0.0.2:8080");
    end();
  });

  it("during an evacuation gets nothing, and is cold when that ends", async () => {
    const { put, listUsable, readOnly, registry, end } = await start();
    await put("op/evacuate/north-a", "{}");
    await put(KEY, createStart(2_000));
    assert.deepEqual(listUsable(), []);
    await put("op/evacuate/north-a", undefined);
    assert.equal(readOnly().entry.startedMs, 2_000);
    assert.equal(registry.servers.length, 1);
    end();
  });

  it("while the start before was leaving takes calls", async () => {
    const { put, listUsable, readOnly, end } = await start();
    await put(KEY, createStart(1_000, { state: "draining" }));
    assert.deepEqual(listUsable(), []);
    await put(KEY, createStart(2_000));
    assert.equal(readOnly().entry.startedMs, 2_000);
    end();
  });

  describe("when a write of an earlier start comes late", () => {
    it("changes neither server nor address", async () => {
      const { put, readOnly, end } = await start(2_000);
      const before = readOnly().entry;
      await put(KEY, createStart(1_000, { address: "10.0.0.9:8080" }));
      assert.equal(readOnly().entry.id, before.id);
      assert.equal(readOnly().entry.address, before.address);
      end();
    });

    // An engine whose clock went back looks the same: what it says of leaving and
    // of being cold is heeded, since nobody is served worse by care.
    it("is heeded where it says that the server leaves or is cold", async () => {
      const { clock, put, listUsable, readOnly, end } = await start(2_000);
      await put(KEY, createStart(1_000, { warmupRemainingMs: 3_000 }));
      assert.ok(readOnly().coldUntilMs > clock.nowMs() + 2_000);
      await put(KEY, createStart(1_000, { state: "draining" }));
      assert.deepEqual(listUsable(), []);
      await put(KEY, createStart(2_000, { sequence: 3 }));
      assert.equal(readOnly().entry.startedMs, 2_000);
      end();
    });
  });

  describe("when its start is told by a peer", () => {
    it("is the same server as told by the store", async () => {
      const told = startDocumentFollower(() => false);
      const first = await start(2_000);
      told.follower.applyCopy(first.follower.createCopy(STORE_START));
      assert.deepEqual(
        told.listUsable().map(({ entry }) => entry.id),
        first.listUsable().map(({ entry }) => entry.id),
      );
      told.end();
      first.end();
    });
  });
});

describe("a server that does not say when it started", () => {
  it("is named by its id alone", async () => {
    const { put, listUsable, end } = startDocumentFollower();
    await put(KEY, createServerDocument());
    assert.deepEqual(listUsable().map(({ entry }) => entry.id), ["e1"]);
    end();
  });
});
