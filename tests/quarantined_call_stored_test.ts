// Guards against losing the quarantine when all instances lose power at once: the same call would crash three more servers.
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom, VirtualClock } from "../clock/mod.ts";
import type { HttpGateway } from "../daemon/http_gateway.ts";
import { toBackendId, toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { createDocumentDecoder, toRefusedCallKey } from "../platform/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { RefusedCallEntries, StateFollower } from "../state/mod.ts";
import { createContent } from "./content_fixture.ts";
import { createVirtualGateway } from "./virtual_gateway.ts";

const REGIONS = new Map([[toFailureDomainId("north-a"), toRegionId("north")]]);
const CRASHING_CONTENT = createContent("bad");

/** Starts an instance that follows the store and receives no reports of others. */
function startInstance(clock: VirtualClock, store: MemoryStore, name: string) {
  const ended = new AbortController();
  let follower: StateFollower | undefined;
  const entries = new RefusedCallEntries({
    store,
    clock,
    random: createRandom(name.length),
    logger: createSilentLogger(),
    toKey: toRefusedCallKey,
    readRevision: (key) => follower?.readEntry(key)?.revision ?? 0,
    signal: ended.signal,
  });
  const gateway: HttpGateway = createVirtualGateway(name, {
    clock,
    createState: (sinks) => {
      follower = new StateFollower({
        ...sinks,
        store,
        decoder: createDocumentDecoder(REGIONS),
        clock,
        random: createRandom(1),
        logger: createSilentLogger(),
        prefix: "",
      });
      return follower;
    },
    storeQuarantinedCall: (call) => void entries.store(call),
    removeQuarantinedCall: (call) => void entries.remove(call),
  });
  gateway.start(ended.signal);
  return { ended, quarantine: gateway.forwarder.quarantine };
}

function recordCrashes(
  { quarantine }: ReturnType<typeof startInstance>,
  nowMs: number,
): void {
  ["s1", "s2", "s3"].forEach((server) =>
    quarantine.recordCrash(CRASHING_CONTENT, toBackendId(server), nowMs)
  );
}

/** Runs an instance until it quarantines a call, and stops it a second later. */
async function runUntilQuarantined(clock: VirtualClock, store: MemoryStore) {
  const first = startInstance(clock, store, "north-1");
  await clock.advance(500);
  recordCrashes(first, clock.nowMs());
  await clock.advance(1_000);
  first.ended.abort();
}

describe("a quarantined call", () => {
  it("is refused by an instance that starts when no other is left", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    await runUntilQuarantined(clock, store);
    const second = startInstance(clock, store, "north-2");
    await clock.advance(500);
    const remainingMs = second.quarantine.readRemainingQuarantineMs(
      CRASHING_CONTENT,
      clock.nowMs(),
    );
    assert.ok(remainingMs > 590_000 && remainingMs < 600_000);
    second.ended.abort();
  });

  it("is stored once the store is reachable again, though several instances quarantined it", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const instances = ["north-1", "north-22"].map((name) =>
      startInstance(clock, store, name)
    );
    await clock.advance(500);
    store.setDown(true);
    instances.forEach((instance) => recordCrashes(instance, clock.nowMs()));
    await clock.advance(3_000);
    store.setDown(false);
    await clock.advance(6_000);
    const stored = await store.read(
      toRefusedCallKey(CRASHING_CONTENT.fingerprint),
    );
    assert.ok(stored._unsafeUnwrap() !== undefined);
    instances.forEach(({ ended }) => ended.abort());
  });

  it("is refused until the next trial by an instance that starts after trials have failed", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const first = startInstance(clock, store, "north-1");
    await clock.advance(500);
    recordCrashes(first, clock.nowMs());
    await clock.advance(1_500);
    first.quarantine.recordCrash(
      CRASHING_CONTENT,
      toBackendId("s4"),
      clock.nowMs(),
      { isTrial: true },
    );
    await clock.advance(1_000);
    first.ended.abort();
    const second = startInstance(clock, store, "north-2");
    await clock.advance(5_000);
    const verdict = second.quarantine.admit(CRASHING_CONTENT, clock.nowMs());
    assert.equal(verdict.kind, "refused");
    second.ended.abort();
  });

  it("is in the store no longer than until a server has answered it", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const instance = startInstance(clock, store, "north-1");
    await clock.advance(500);
    recordCrashes(instance, clock.nowMs());
    await clock.advance(2_000);
    const key = toRefusedCallKey(CRASHING_CONTENT.fingerprint);
    const before = await store.read(key);
    assert.ok(before._unsafeUnwrap() !== undefined);
    instance.quarantine.recordAnswer(CRASHING_CONTENT, clock.nowMs());
    await clock.advance(1_000);
    const after = await store.read(key);
    assert.equal(after._unsafeUnwrap(), undefined);
    instance.ended.abort();
  });

  it("is in the store no longer than it is quarantined", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    await runUntilQuarantined(clock, store);
    await clock.advance(600_000);
    const stored = await store.read(
      toRefusedCallKey(CRASHING_CONTENT.fingerprint),
    );
    assert.equal(stored._unsafeUnwrap(), undefined);
  });
});
