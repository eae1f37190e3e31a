// Guards against calls to a server whose entry was overwritten by unreadable bytes: a refused entry left the earlier one in use.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  createConfigurationDocument,
  createServerDocument,
  startDocumentFollower,
} from "./document_fixture.ts";
import { STORE_START } from "../store/mod.ts";

const KEY = "servers/e1";
const REQUIRED_FIELDS = [
  "service",
  "address",
  "zone",
  "version",
  "slots",
  "state",
  "warmupRemainingMs",
  "sequence",
];

function omitField(field: string): unknown {
  const rest = Object.entries(createServerDocument())
    .filter(([name]) => name !== field);
  return Object.fromEntries(rest);
}

/** Entries that describe no usable server, each with its fault. */
const UNUSABLE_ENTRIES: readonly (readonly [string, unknown])[] = [
  ["no JSON", "\u0000\ufffd{"],
  ["an empty string", ""],
  ["null", "null"],
  ["a list", "[]"],
  ...REQUIRED_FIELDS.map((field) => [`no ${field}`, omitField(field)] as const),
  ["an unknown state", createServerDocument({ state: "resting" })],
  ["a number as state", createServerDocument({ state: 1 })],
  ["a string as slots", createServerDocument({ slots: "8" })],
  ["no slots at all", createServerDocument({ slots: 0 })],
  ["a fractional number of slots", createServerDocument({ slots: 1.5 })],
  ["a negative time", createServerDocument({ warmupRemainingMs: -1 })],
  ["no port", createServerDocument({ address: "10.0.0.1" })],
  ["an impossible port", createServerDocument({ address: "10.0.0.1:99999" })],
  [
    "a line break in the address",
    createServerDocument({ address: "a\r\nb:1" }),
  ],
  ["a string as start time", createServerDocument({ born: "1000" })],
  ["a fractional start time", createServerDocument({ born: 1.5 })],
  ["a list of services", createServerDocument({ service: ["app"] })],
];

describe("an entry of another writer", () => {
  UNUSABLE_ENTRIES.forEach(([fault, value]) => {
    it(`with ${fault} registers no server`, async () => {
      const { put, listUsable, end } = startDocumentFollower();
      await put(KEY, value);
      assert.deepEqual(listUsable(), []);
      end();
    });

    it(`with ${fault} takes the server of its key out of use until the next valid entry`, async () => {
      const { put, listUsable, end } = startDocumentFollower();
      await put(KEY, createServerDocument());
      await put(KEY, value);
      assert.deepEqual(listUsable(), []);
      await put(KEY, createServerDocument({ sequence: 2 }));
      assert.equal(listUsable().length, 1);
      end();
    });
  });

  it("without a start time, after one with a start time, takes the server out of use", async () => {
    const { put, listUsable, end } = startDocumentFollower();
    await put(KEY, createServerDocument({ born: 1_000 }));
    await put(KEY, createServerDocument());
    assert.deepEqual(listUsable(), []);
    end();
  });

  it("under a key without a valid server name registers no server", async () => {
    const { put, registry, end } = startDocumentFollower();
    await put("servers/", createServerDocument());
    await put("servers/e 1", createServerDocument());
    await put("servers/e1\r\nX-Forged: 1", createServerDocument());
    await put("servers/e1/more", createServerDocument());
    await put("servers/e1@zz", createServerDocument());
    assert.deepEqual(registry.servers, []);
    end();
  });

  it("is logged once per revision, however often the store is read", async () => {
    const { clock, lines, put, store, end } = startDocumentFollower();
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
    const { put, versions, follower, end } = startDocumentFollower();
    await put("op/config", createConfigurationDocument(3));
    await put("op/config", "{");
    const peer = startDocumentFollower(() => false);
    peer.follower.applyCopy(follower.createCopy(STORE_START));
    assert.deepEqual([versions, peer.versions], [[3], [3]]);
    await put("op/config", createConfigurationDocument(4));
    assert.deepEqual(versions, [3, 4]);
    end();
    peer.end();
  });

  it("counts as an evacuation under the key of one, so that its failure domain has no usable server", async () => {
    const { put, listUsable, end } = startDocumentFollower();
    await put(KEY, createServerDocument());
    await put("op/evacuate/north-a", "{");
    assert.deepEqual(listUsable(), []);
    end();
  });

  it("of an instance adds no instance address", async () => {
    const { put, follower, end } = startDocumentFollower();
    await put("havenspur/instances/a", { address: "10.0.0.7:7000" });
    await put("havenspur/instances/a", "{");
    await put("havenspur/instances/b", { address: 7 });
    assert.deepEqual(follower.instanceAddresses, []);
    end();
  });

  // Sending a report to such an address throws, which ends the instance.
  it("of an instance adds no address to which nothing can be sent", async () => {
    const { put, follower, end } = startDocumentFollower();
    for (const address of ["", "x", "x:1", "10.0.0.7", "10.0.0.7:0"]) {
      await put("havenspur/instances/b", { address });
      assert.deepEqual(follower.instanceAddresses, [], address);
    }
    end();
  });
});

/** One write: the number of a server and its entry; a number as entry is an index into `UNUSABLE_ENTRIES`. */
const WRITE_ARBITRARY = fc.record({
  server: fc.integer({ min: 1, max: 3 }),
  entry: fc.oneof(
    fc.constant("good" as const),
    fc.constant("removed" as const),
    fc.integer({ min: 0, max: UNUSABLE_ENTRIES.length - 1 }),
  ),
  isCompacted: fc.boolean(),
});

describe("readable entries", () => {
  it("are in force whatever other entries there are, from the store and from a peer", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(WRITE_ARBITRARY, { minLength: 1, maxLength: 12 }),
        async (writes) => {
          const { clock, put, store, follower, listUsable, end } =
            startDocumentFollower();
          const good = new Set<string>();
          for (const { server, entry, isCompacted } of writes) {
            const name = `e${server}`;
            const value = entry === "good"
              ? createServerDocument({ sequence: clock.nowMs() })
              : entry === "removed"
              ? undefined
              : UNUSABLE_ENTRIES[entry]![1];
            if (entry === "good") good.add(name);
            else good.delete(name);
            await put(`servers/${name}`, value);
            if (isCompacted) store.compact();
          }
          await clock.advance(5_000);
          follower.sweep();
          const peer = startDocumentFollower(() => false);
          peer.follower.applyCopy(follower.createCopy(STORE_START));
          const expected = [...good].sort();
          [listUsable(), peer.listUsable()].forEach((usable) =>
            assert.deepEqual(
              usable.map(({ entry }) => String(entry.id)).sort(),
              expected,
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
