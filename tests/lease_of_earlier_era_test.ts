import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import { toBackendId, toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import {
  createDocumentDecoder,
  PlatformStore,
  toRefusedCallKey,
} from "../platform/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { startStoreStandin } from "../standin/platform_store_server.ts";
import {
  InstanceEntry,
  RefusedCallEntries,
  StateFollower,
} from "../state/mod.ts";
import { createContent } from "./content_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

const REGIONS = new Map([[toFailureDomainId("north-a"), toRegionId("north")]]);
const OWN_KEY = "havenspur/instances/north-1";
const CLEAN_UPS: (() => void | Promise<void>)[] = [];
afterEach(async () => {
  for (const cleanUp of CLEAN_UPS.splice(0)) await cleanUp();
});

async function startStore() {
  const memory = new MemoryStore(new VirtualClock());
  const standin = await startStoreStandin(memory);
  const client = new PlatformStore(standin.address);
  CLEAN_UPS.push(() => client.close(), () => standin.close());
  return { memory, client };
}

/** Starts an instance that writes its entry and its quarantined calls to a store that it follows. */
function startInstance(clock: VirtualClock, store: MemoryStore) {
  const ended = new AbortController();
  CLEAN_UPS.push(() => ended.abort());
  const logger = createSilentLogger();
  const random = createRandom(1);
  let follower: StateFollower | undefined;
  const readRevision = (key: string) => follower?.readEntry(key)?.revision ?? 0;
  const entry = new InstanceEntry({
    store,
    clock,
    random,
    logger,
    key: OWN_KEY,
    value: JSON.stringify({ address: "north-1:1" }),
    readRevision: () => readRevision(OWN_KEY),
  });
  const quarantinedCalls = new RefusedCallEntries({
    store,
    clock,
    random,
    logger,
    toKey: toRefusedCallKey,
    readRevision,
    signal: ended.signal,
  });
  const gateway = createVirtualGateway("north-1", {
    clock,
    createState: (sinks) => {
      follower = new StateFollower({
        ...sinks,
        store,
        decoder: createDocumentDecoder(REGIONS),
        clock,
        random,
        logger,
        prefix: "",
        onRestored: () => {
          sinks.onRestored();
          entry.rewriteIfLost();
        },
      });
      return follower;
    },
    storeQuarantinedCall: (call) => void quarantinedCalls.store(call),
  });
  gateway.start(ended.signal);
  entry.start(ended.signal);
  return gateway.forwarder.quarantine;
}

describe("a lease of an earlier era of the store", () => {
  it("is not renewed, though the store has granted its id to another instance", async () => {
    const { client, memory } = await startStore();
    const backup = memory.createBackup();
    const lease = (await client.grantLease(5_000))._unsafeUnwrap();
    assert.equal((await client.renewLease(lease))._unsafeUnwrap(), true);
    memory.restoreBackup(backup);
    // Another instance gets a lease with the same id.
    await memory.grantLease(5_000);
    assert.equal((await client.renewLease(lease))._unsafeUnwrap(), false);
  });

  it("does not revoke the later lease with its id, and no key is written under it", async () => {
    const { client, memory } = await startStore();
    const backup = memory.createBackup();
    const lease = (await client.grantLease(5_000))._unsafeUnwrap();
    memory.restoreBackup(backup);
    const otherLease = (await memory.grantLease(5_000))._unsafeUnwrap();
    await memory.swap({
      key: "other",
      value: "1",
      expectedRevision: 0,
      leaseId: otherLease,
    });
    await client.read("other");
    const written = await client.swap({
      key: "own",
      value: "1",
      expectedRevision: 0,
      leaseId: lease,
    });
    assert.ok(written.isErr());
    await client.revokeLease(lease);
    assert.equal((await memory.read("other"))._unsafeUnwrap()?.value, "1");
    assert.equal((await memory.read("own"))._unsafeUnwrap(), undefined);
  });
});

describe("what an instance wrote before the store was restored from a backup", () => {
  it("is written again within a second: its entry and its quarantined calls", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    await store.swap({ key: "any", value: "{}", expectedRevision: 0 });
    const backup = store.createBackup();
    const quarantine = startInstance(clock, store);
    const crashingContent = createContent("bad");
    await clock.advance(500);
    ["s1", "s2", "s3"].forEach((server) =>
      quarantine.recordCrash(
        crashingContent,
        toBackendId(server),
        clock.nowMs(),
      )
    );
    await clock.advance(1_000);
    const keys = [OWN_KEY, toRefusedCallKey(crashingContent.fingerprint)];
    const readAll = async () =>
      (await store.readPrefix("havenspur/"))._unsafeUnwrap()
        .map(({ key }) => key);
    assert.deepEqual(await readAll(), keys);
    store.restoreBackup(backup);
    assert.deepEqual(await readAll(), []);
    await clock.advance(1_000);
    assert.deepEqual(await readAll(), keys);
  });
});
