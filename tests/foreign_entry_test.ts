// What callers saw: calls went on to a server whose entry had been overwritten by
// bytes that nobody could read. The evidence: the log said "document refused", and
// the entry before it stayed in use, since a refused one was passed over.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  createConfigurationDocument,
  createServerDocument,
  startDocuments,
} from "./document_fixture.ts";
import { STORE_START } from "../store/mod.ts";

const KEY = "servers/e1";
const REQUIRED = [
  "service",
  "address",
  "zone",
  "version",
  "slots",
  "state",
  "warmupRemainingMs",
  "sequence",
];

function omit(field: string): unknown {
  const rest = Object.entries(createServerDocument())
    .filter(([name]) => name !== field);
  return Object.fromEntries(rest);
}

/** Entries that name no server to use, each with what is wrong with it. */
const UNUSABLE: readonly (readonly [string, unknown])[] = [
  ["no JSON", "\u0000\ufffd{"],
  ["an empty text", ""],
  ["null", "null"],
  ["a list", "[]"],
  ...REQUIRED.map((field) => [`no ${field}`, omit(field)] as const),
  ["an unknown state", createServerDocument({ state: "resting" })],
  ["a number as state", createServerDocument({ state: 1 })],
  ["a text for slots", createServerDocument({ slots: "8" })],
  ["no slots at all", createServerDocument({ slots: 0 })],
  ["part of a slot", createServerDocument({ slots: 1.5 })],
  ["a negative time", createServerDocument({ warmupRemainingMs: -1 })],
  ["no port", createServerDocument({ address: "10.0.0.1" })],
  ["an impossible port", createServerDocument({ address: "10.0.0.1:99999" })],
  ["a header in the address", createServerDocument({ address: "a\r\nb:1" })],
  ["a text for its start", createServerDocument({ born: "1000" })],
  ["a start between two milliseconds", createServerDocument({ born: 1.5 })],
  ["a list of services", createServerDocument({ service: ["app"] })],
];

describe("an entry of another writer", () => {
  UNUSABLE.forEach(([what, value]) => {
    it(`with ${what} names no server`, async () => {
      const { put, listUsable, end } = startDocuments();
      await put(KEY, value);
      assert.deepEqual(listUsable(), []);
      end();
    });

    it(`with ${what} takes the server of its key out of use until the next good one`, async () => {
      const { put, listUsable, end } = startDocuments();
      await put(KEY, createServerDocument());
      await put(KEY, value);
      assert.deepEqual(listUsable(), []);
      await put(KEY, createServerDocument({ sequence: 2 }));
      assert.equal(listUsable().length, 1);
      end();
    });
  });

  it("that does not say its start, where the server did, takes it out of use", async () => {
    const { put, listUsable, end } = startDocuments();
    await put(KEY, createServerDocument({ born: 1_000 }));
    await put(KEY, createServerDocument());
    assert.deepEqual(listUsable(), []);
    end();
  });

  it("under a key that is no name of a server names none", async () => {
    const { put, registry, end } = startDocuments();
    await put("servers/", createServerDocument());
    await put("servers/e 1", createServerDocument());
    await put("servers/e1\r\nX-Forged: 1", createServerDocument());
    await put("servers/e1/more", createServerDocument());
    await put("servers/e1@zz", createServerDocument());
    assert.deepEqual(registry.servers, []);
    end();
  });

  it("is logged once for its revision, however often the store is read", async () => {
    const { clock, lines, put, store, end } = startDocuments();
    await put(KEY, "{");
    for (let round = 0; round < 3; round++) {
      store.compact();
      await clock.advance(3_000);
    }
    const refused = lines.filter(({ message }) =>
      message === "document refused"
    );
    assert.equal(refused.length, 1);
    assert.equal(refused[0]?.key, KEY);
    end();
  });

  it("does not replace the configuration in force, here or at a peer", async () => {
    const { put, versions, follower, end } = startDocuments();
    await put("op/config", createConfigurationDocument(3));
    await put("op/config", "{");
    const peer = startDocuments(() => false);
    peer.follower.applyCopy(follower.createCopy(STORE_START));
    assert.deepEqual([versions, peer.versions], [[3], [3]]);
    await put("op/config", createConfigurationDocument(4));
    assert.deepEqual(versions, [3, 4]);
    end();
    peer.end();
  });

  it("counts as an evacuation under the key of one: nothing is sent there", async () => {
    const { put, listUsable, end } = startDocuments();
    await put(KEY, createServerDocument());
    await put("op/evacuate/north-a", "{");
    assert.deepEqual(listUsable(), []);
    end();
  });

  it("of an instance gives no address to greet", async () => {
    const { put, follower, end } = startDocuments();
    await put("havenspur/instances/a", { address: "10.0.0.7:7000" });
    await put("havenspur/instances/a", "{");
    await put("havenspur/instances/b", { address: 7 });
    assert.deepEqual(follower.instanceAddresses, []);
    end();
  });
});

/** What is written in one step: a server's key, and which entry. */
const STEP = fc.record({
  server: fc.integer({ min: 1, max: 3 }),
  entry: fc.oneof(
    fc.constant("good" as const),
    fc.constant("removed" as const),
    fc.integer({ min: 0, max: UNUSABLE.length - 1 }),
  ),
  isCompacted: fc.boolean(),
});

describe("readable entries", () => {
  it("are in force whatever stands beside them, by store and by peer", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(STEP, { minLength: 1, maxLength: 12 }),
        async (steps) => {
          const { clock, put, store, follower, listUsable, end } =
            startDocuments();
          const good = new Set<string>();
          for (const { server, entry, isCompacted } of steps) {
            const name = `e${server}`;
            const value = entry === "good"
              ? createServerDocument({ sequence: clock.nowMs() })
              : entry === "removed"
              ? undefined
              : UNUSABLE[entry]![1];
            if (entry === "good") good.add(name);
            else good.delete(name);
            await put(`servers/${name}`, value);
            if (isCompacted) store.compact();
          }
          await clock.advance(5_000);
          follower.sweep();
          const peer = startDocuments(() => false);
          peer.follower.applyCopy(follower.createCopy(STORE_START));
          const wanted = [...good].sort();
          [listUsable(), peer.listUsable()].forEach((usable) =>
            assert.deepEqual(
              usable.map(({ entry }) => String(entry.id)).sort(),
              wanted,
            )
          );
          end();
          peer.end();
        },
      ),
      { numRuns: 60, seed: 7 },
    );
  });
});
