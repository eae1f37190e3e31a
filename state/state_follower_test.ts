import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { INITIAL_LIMITS } from "../http_routes/mod.ts";
import { toBackendId, toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import type { StateDecoder } from "./state_change.ts";
import { StateFollower } from "./state_follower.ts";

/** Keys: `config`, `server/ID`, `evacuated/DOMAIN`. */
const DECODER: StateDecoder = {
  decode: (key, value) => {
    const [kind, name] = key.split("/");
    if (value === "malformed") return err("malformed");
    switch (kind) {
      case "config":
        return ok({
          kind: "configuration",
          configuration: {
            version: Number(value),
            routes: [],
            services: [],
            limits: INITIAL_LIMITS,
          },
        });
      case "server":
        return ok({
          kind: "server",
          server: {
            id: toBackendId(name!),
            service: "app",
            address: `${name}:1`,
            failureDomain: toFailureDomainId("a"),
            region: toRegionId("north"),
            slots: 4,
            isDraining: value === "draining",
            coldForMs: 0,
          },
        });
      case "evacuated":
        return ok({
          kind: "evacuation",
          failureDomain: toFailureDomainId(name!),
        });
      default:
        return ok({ kind: "other" });
    }
  },
};

function start() {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const registry = new ServerRegistry();
  const versions: number[] = [];
  const ended = new AbortController();
  const follower = new StateFollower({
    store,
    decoder: DECODER,
    registry,
    clock,
    random: createRandom(1),
    logger: createSilentLogger(),
    prefix: "",
    applyTable: (table: RouteTable) =>
      versions.push(table.configuration.version),
    onServers: () => {},
  });
  const put = async (key: string, value: string | undefined) => {
    const known = await store.read(key);
    const expectedRevision = known._unsafeUnwrap()?.revision ?? 0;
    await store.swap({ key, value, expectedRevision });
  };
  const run = async (ms: number) => {
    await clock.advance(ms);
    follower.sweep();
  };
  void follower.run(ended.signal);
  const listUsable = () =>
    registry.listUsable("app", toRegionId("north")).map(({ entry }) =>
      entry.id
    );
  return { clock, store, follower, versions, put, run, listUsable, ended };
}

describe("StateFollower", () => {
  it("puts what is there and what changes in force, at once", async () => {
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

  it("takes a server out that drains, is removed, or is evacuated", async () => {
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
    follower.applyCopy({
      revision: 99,
      entries: [{ key: "config", value: "2", revision: 98 }],
    });
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

  it("reads anew when the store dropped the history", async () => {
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
    // A missing entry may have lapsed with the outage: it is kept for a while.
    assert.deepEqual(listUsable(), ["s2"]);
    await run(2_100);
    assert.deepEqual(listUsable(), []);
    ended.abort();
  });

  it("keeps servers over an outage whose entries come back in time", async () => {
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
    it("takes a newer copy of a peer, and no older change afterwards", async () => {
      const { put, run, store, versions, follower, listUsable, ended } =
        start();
      await put("config", "1");
      await put("server/s1", "ready");
      await run(10);
      store.setDown(true);
      await run(500);
      const isNewer = follower.applyCopy({
        revision: 10,
        entries: [
          { key: "config", value: "7", revision: 9 },
          { key: "server/s1", value: "draining", revision: 10 },
        ],
      });
      assert.equal(isNewer, true);
      assert.deepEqual(versions, [1, 7]);
      assert.deepEqual(listUsable(), []);
      store.setDown(false);
      await run(6_000);
      assert.deepEqual(listUsable(), []);
      assert.equal(follower.known.storeRevision, 10);
      ended.abort();
    });

    it("refuses a copy that is not newer", async () => {
      const { put, run, follower, ended } = start();
      await put("config", "1");
      await run(10);
      assert.equal(follower.applyCopy(follower.createCopy()), false);
      ended.abort();
    });
  });
});
