import { createRandom, VirtualClock } from "../clock/mod.ts";
import type { RouteTable } from "../http_routes/mod.ts";
import { toFailureDomainId, toRegionId } from "../ids/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { createDocumentDecoder } from "../platform/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import { MemoryStore } from "../standin/memory_store.ts";
import { StateFollower } from "../state/mod.ts";
import { putKey } from "./follower_fixture.ts";

/** Region of the servers that `createServerDocument` describes. */
export const SERVER_REGION = toRegionId("north");

/** Returns the document that a server writes about itself, with some fields changed. */
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

/** Returns the configuration that an operator writes, without routes. */
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

/** Starts a follower of the platform's documents in a new store. */
export function startDocumentFollower(isRelay = () => true) {
  const clock = new VirtualClock();
  const store = new MemoryStore(clock);
  const registry = new ServerRegistry();
  const versions: number[] = [];
  const lines: Readonly<Record<string, unknown>>[] = [];
  const controller = new AbortController();
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
  void follower.run(controller.signal);
  /** Writes a string as it is, and any other value as JSON; `undefined` removes the key. */
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
    end: () => controller.abort(),
    follower,
    lines,
    listUsable,
    put,
    registry,
    store,
    versions,
  };
}
