import { createRandom, type VirtualClock } from "../clock/mod.ts";
import {
  toFailureDomainId,
  toRegionId,
  toRolloutId,
  toServerVersion,
} from "../ids/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import {
  createDocumentDecoder,
  encodeRolloutRecord,
  encodeRolloutStatus,
  toRolloutOrderKey,
  toRolloutRecordKey,
  toRolloutStatusKey,
} from "../platform/mod.ts";
import type {
  RolloutOrder,
  RolloutPhase,
  RolloutRecord,
} from "../rollouts/mod.ts";
import { ServerRegistry } from "../servers/mod.ts";
import type { MemoryStore } from "../standin/memory_store.ts";
import { RolloutEntries, StateFollower } from "../state/mod.ts";

/** Service whose version the tests roll out. */
export const SERVICE = "app";

/** Returns a record of an order to move to `v2`. */
export function createRecord(
  phase: RolloutPhase,
  id = "0.5",
): RolloutRecord {
  const destination = toServerVersion("v2");
  return {
    service: SERVICE,
    inForce: [phase === "completed" ? destination : toServerVersion("v1")],
    order: {
      id: toRolloutId(id),
      destination,
      durationMs: 12_000,
      startedMs: 0,
      phase,
    },
  };
}

/** Starts a relay: a follower of the store, what it passes on, and a writer. */
export function startRelay(
  clock: VirtualClock,
  store: MemoryStore,
  isRelay = () => true,
) {
  const ended = new AbortController();
  const lines: Readonly<Record<string, unknown>>[] = [];
  const logger = createLogger({
    clock,
    fields: {},
    level: "info",
    write: (line) => void lines.push(JSON.parse(line)),
  });
  /** What was passed on last, by service. */
  const orders = new Map<string, RolloutOrder | undefined>();
  const records = new Map<string, RolloutRecord>();
  const follower: StateFollower = new StateFollower({
    store,
    decoder: createDocumentDecoder(
      new Map([[toFailureDomainId("north-a"), toRegionId("north")]]),
    ),
    registry: new ServerRegistry(),
    clock,
    random: createRandom(1),
    logger,
    prefix: "",
    applyTable: () => {},
    onServers: () => {},
    rollouts: {
      applyOrder: (service, order) => void orders.set(service, order),
      applyRecord: (record) => void records.set(record.service, record),
      forgetRecord: (service) => void records.delete(service),
    },
    isRelay,
  });
  void follower.run(ended.signal);
  const entries = new RolloutEntries({
    store,
    clock,
    logger,
    metrics: NO_METRICS,
    encodeRecord: (record) => ({
      key: toRolloutRecordKey(record.service),
      value: encodeRolloutRecord(record),
    }),
    encodeStatus: (status) => ({
      key: toRolloutStatusKey(status.service),
      value: encodeRolloutStatus(status),
    }),
    readOrderRevision: (service) =>
      follower.readEntry(toRolloutOrderKey(service))?.revision ?? 0,
    readEntry: (key) => follower.readEntry(key),
    signal: ended.signal,
  });
  return {
    crash: () => ended.abort("crashed"),
    entries,
    follower,
    lines,
    orders,
    records,
  };
}

/** Returns the phase of the record in the store, and the state of the status. */
export async function readRollout(store: MemoryStore) {
  const read = async (key: string) => {
    const entry = (await store.read(key))._unsafeUnwrap();
    return entry === undefined ? undefined : JSON.parse(entry.value);
  };
  return {
    phase: (await read(toRolloutRecordKey(SERVICE)))?.order?.phase,
    status: (await read(toRolloutStatusKey(SERVICE)))?.state,
  };
}
