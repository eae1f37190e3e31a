// What callers would see: all instances lose their power at once, none knows any more
// which call ended the servers before, and the call ends three more.
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
const BAD = createContent("bad");

/** Starts an instance that follows the store alone: it hears of no other. */
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
    keepRefusedCall: (held) => void entries.keep(held),
  });
  gateway.start(ended.signal);
  return { ended, quarantine: gateway.forwarder.quarantine };
}

function endServers(
  { quarantine }: ReturnType<typeof startInstance>,
  nowMs: number,
): void {
  ["s1", "s2", "s3"].forEach((server) =>
    quarantine.recordEnd(BAD, toBackendId(server), nowMs)
  );
}

/** Runs an instance until a call is refused there, and a second more. */
async function runFirst(clock: VirtualClock, store: MemoryStore) {
  const first = startInstance(clock, store, "north-1");
  await clock.advance(500);
  endServers(first, clock.nowMs());
  await clock.advance(1_000);
  first.ended.abort();
}

describe("a call that is refused", () => {
  it("is refused by instances that start when no other is left", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    await runFirst(clock, store);
    const second = startInstance(clock, store, "north-2");
    await clock.advance(500);
    const heldMs = second.quarantine.readHeldMs(BAD, clock.nowMs());
    assert.ok(heldMs > 590_000 && heldMs < 600_000);
    second.ended.abort();
  });

  it("is kept once the store is back, and by one instance of those that saw it", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const instances = ["north-1", "north-22"].map((name) =>
      startInstance(clock, store, name)
    );
    await clock.advance(500);
    store.setDown(true);
    instances.forEach((instance) => endServers(instance, clock.nowMs()));
    await clock.advance(3_000);
    store.setDown(false);
    await clock.advance(6_000);
    const kept = await store.read(toRefusedCallKey(BAD.fingerprint));
    assert.ok(kept._unsafeUnwrap() !== undefined);
    instances.forEach(({ ended }) => ended.abort());
  });

  it("is in the store no longer than it is refused", async () => {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    await runFirst(clock, store);
    await clock.advance(600_000);
    const kept = await store.read(toRefusedCallKey(BAD.fingerprint));
    assert.equal(kept._unsafeUnwrap(), undefined);
  });
});
