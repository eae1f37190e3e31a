import { createRandom, VirtualClock } from "../clock/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { createDocumentDecoder } from "../platform/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { StateFollower } from "../state/mod.ts";
import { putKey } from "./follower_fixture.ts";

/** Region of the servers that the functions below write. */
export const SERVER_REGION = toRegionId("north");

/** Returns what a server writes of itself, with some fields changed. */
export function createServerDocument(
  changes: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  return {
    service: "app",
    address: "10.0.0.1:8080",
    zone: "north-a",
    version: "v1",
    slots: 8,
    state: "ready",
    warmupRemainingMs: 0,
    sequence: 1,
    ...changes,
  };
}

/** Returns what the operator writes, without a route. */
export function createConfigurationDocument(version: number): unknown {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Starts a follower of the platform's documents in a store of its own. */
export function startDocuments(isRelay = () => true) {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const registry = new ServerRegistry();
  const versions: number[] = [];
  const lines: Readonly<Record<string, unknown>>[] = [];
  const ended = new AbortController();
  const follower = new StateFollower({
    store,
    decoder: createDocumentDecoder(
      new Map([[toFailureDomainId("north-a"), SERVER_REGION]]),
    ),
    registry,
    clock,
    random: createRandom(1),
    logger: createLogger({
      clock,
      fields: {},
      level: "info",
      write: (line) => void lines.push(JSON.parse(line)),
    }),
    prefix: "",
    applyTable: (table: RouteTable) =>
      versions.push(table.configuration.version),
    onServers: () => {},
    isRelay,
  });
  void follower.run(ended.signal);
  /** Writes a text as it is, or anything else as JSON; `undefined` removes the key. */
  const put = async (key: string, value: unknown) => {
    const text = typeof value === "string" || value === undefined
      ? value
      : JSON.stringify(value);
    await putKey(store, key, text);
    await clock.advance(10);
  };
  const listUsable = () => registry.listUsable("app", SERVER_REGION);
  return {
    clock,
    end: () => ended.abort(),
    follower,
    lines,
    listUsable,
    put,
    registry,
    store,
    versions,
  };
}
