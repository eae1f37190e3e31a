import { createRandom, type VirtualClock } from "../clock/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import type { MemoryStore } from "../standin/memory_store.ts";
import { StateFollower } from "../state/mod.ts";
import { TEST_DECODER } from "./state_fixture.ts";

/** What a follower of a test is created from. */
export interface FollowerParts {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  /** Whether the follower reads the store itself. Default: always. */
  readonly isRelay?: () => boolean;
}

/** Starts a follower of the test documents, and records the configuration versions that it puts in force. */
export function startFollower(
  { clock, isRelay = () => true, store }: FollowerParts,
) {
  const registry = new ServerRegistry();
  const versions: number[] = [];
  const ended = new AbortController();
  const follower = new StateFollower({
    store,
    decoder: TEST_DECODER,
    registry,
    clock,
    random: createRandom(1),
    logger: createSilentLogger(),
    prefix: "",
    applyTable: (table: RouteTable) =>
      versions.push(table.configuration.version),
    onServers: () => {},
    isRelay,
  });
  void follower.run(ended.signal);
  /** Returns the ids of the servers that may get calls, sorted. */
  const listUsable = () =>
    registry.listUsable("app", toRegionId("north"))
      .map(({ entry }) => entry.id).sort();
  return { ended, follower, listUsable, versions };
}

/** Writes a key at whatever revision it has; `undefined` removes the key. */
export async function putKey(
  store: MemoryStore,
  key: string,
  value: string | undefined,
): Promise<void> {
  const known = await store.read(key);
  const expectedRevision = known._unsafeUnwrap()?.revision ?? 0;
  await store.swap({ key, value, expectedRevision });
}
