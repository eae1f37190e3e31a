import { err, ok, type Result } from "neverthrow";
import type { ConfigurationEntry, Resource } from "../resources/mod.ts";
import {
  type Store,
  type StoreEvent,
  type StoreFailure,
} from "../store/mod.ts";
import type { CatalogSnapshot } from "./configuration_state.ts";

/** Prefix of the keys of all entries of the log. */
export const LOG_PREFIX = "/havenspur/configuration/log/";
const SNAPSHOT_POINTER_KEY = "/havenspur/configuration/base";
const SNAPSHOT_PREFIX = "/havenspur/configuration/snapshot/";
const BUCKET_SIZE = 100;
const MAX_PART_BYTES = 600_000;

/** Outcome of an append. */
export type AppendOutcome =
  | { readonly kind: "appended" }
  /** Another change has this sequence number already. */
  | { readonly kind: "taken"; readonly entry: ConfigurationEntry };

/** Stored under a fixed key; names the newest snapshot. */
interface SnapshotPointer {
  readonly sequence: number;
  readonly parts: number;
}

/** Returns the bucket of an entry. The hundred entries of a bucket are read in one call. */
export function toBucket(sequence: number): number {
  return Math.floor(sequence / BUCKET_SIZE);
}

/** Returns the prefix of the keys of a bucket. */
export function toBucketPrefix(bucket: number): string {
  return `${LOG_PREFIX}${String(bucket).padStart(8, "0")}/`;
}

/** Returns the key of an entry. */
export function toLogKey(sequence: number): string {
  return `${toBucketPrefix(toBucket(sequence))}${
    String(sequence).padStart(12, "0")
  }`;
}

/**
 * Appends an entry to the log by creating the key of its sequence number. If the
 * store's response is lost, the key is read back and compared by change id.
 *
 * @param store The store.
 * @param entry The entry, with the sequence number that it is to get.
 * @returns The outcome, or a failure; of kind `unknown` if it is not known whether
 * the entry was written.
 */
export async function writeEntry(
  store: Store,
  entry: ConfigurationEntry,
): Promise<Result<AppendOutcome, StoreFailure>> {
  const key = toLogKey(entry.sequence);
  const value = JSON.stringify(entry);
  const swapped = await store.swap({ key, expectedRevision: 0, value });
  if (swapped.isErr() && swapped.error.kind !== "unknown") {
    return err(swapped.error);
  }
  if (swapped.isOk() && swapped.value.kind === "written") {
    return ok({ kind: "appended" });
  }
  const read = await store.read(key);
  const toUnknown = (message: string): StoreFailure => ({
    kind: "unknown",
    message,
  });
  if (read.isErr()) return err(toUnknown(read.error.message));
  if (read.value === undefined) {
    return err(
      toUnknown(
        `Cannot tell the end of the write of ${key}: it may still arrive`,
      ),
    );
  }
  const found = JSON.parse(read.value.value) as ConfigurationEntry;
  if (found.changeId === entry.changeId) return ok({ kind: "appended" });
  return ok({ kind: "taken", entry: found });
}

/**
 * Reads all entries after a sequence number, in order.
 *
 * @param store The store.
 * @param after Sequence number in force.
 */
export async function readEntriesAfter(
  store: Store,
  after: number,
): Promise<Result<readonly ConfigurationEntry[], StoreFailure>> {
  const found: ConfigurationEntry[] = [];
  for (let next = after + 1;;) {
    const read = await store.readPrefix(toBucketPrefix(toBucket(next)));
    if (read.isErr()) return err(read.error);
    const entries = read.value.map(({ value }) =>
      JSON.parse(value) as ConfigurationEntry
    )
      .filter(({ sequence }) => sequence >= next);
    found.push(...entries);
    const last = entries.at(-1)?.sequence;
    if (last === undefined || (last + 1) % BUCKET_SIZE !== 0) return ok(found);
    next = last + 1;
  }
}

/**
 * Reads the newest snapshot; `undefined` if none was written yet.
 *
 * @param store The store.
 */
export async function readSnapshot(
  store: Store,
): Promise<Result<CatalogSnapshot | undefined, StoreFailure>> {
  const read = await store.read(SNAPSHOT_POINTER_KEY);
  if (read.isErr()) return err(read.error);
  if (read.value === undefined) return ok(undefined);
  const pointer = JSON.parse(read.value.value) as SnapshotPointer;
  const parts = await store.readPrefix(toSnapshotPrefix(pointer.sequence));
  if (parts.isErr()) return err(parts.error);
  if (parts.value.length !== pointer.parts) {
    return err({
      kind: "unavailable",
      message: "Cannot read the snapshot: parts are missing",
    });
  }
  const resources = parts.value.flatMap(({ value }) =>
    JSON.parse(value) as Resource[]
  );
  return ok({ sequence: pointer.sequence, resources });
}

/**
 * Writes a snapshot in parts below the size limit of a value, then points to it.
 * Any instance may do so at any time: the pointer only moves forward.
 *
 * @param store The store.
 * @param snapshot What is in force at this instance.
 */
export async function writeSnapshot(
  store: Store,
  snapshot: CatalogSnapshot,
): Promise<Result<"written" | "older", StoreFailure>> {
  const read = await store.read(SNAPSHOT_POINTER_KEY);
  if (read.isErr()) return err(read.error);
  const pointer = read.value && JSON.parse(read.value.value) as SnapshotPointer;
  if (pointer && pointer.sequence >= snapshot.sequence) return ok("older");
  const parts = splitParts(snapshot.resources);
  for (const [index, value] of parts.entries()) {
    const key = `${toSnapshotPrefix(snapshot.sequence)}${
      String(index).padStart(4, "0")
    }`;
    const swapped = await store.swap({ key, expectedRevision: 0, value });
    if (swapped.isErr()) return err(swapped.error);
  }
  const value = JSON.stringify({
    sequence: snapshot.sequence,
    parts: parts.length,
  });
  const swapped = await store.swap({
    key: SNAPSHOT_POINTER_KEY,
    expectedRevision: read.value?.revision ?? 0,
    value,
  });
  return swapped.map(({ kind }) => kind === "written" ? "written" : "older");
}

/** Returns the entry of a watch event, or `undefined` if the event has no value. */
export function decodeLogEvent(
  event: StoreEvent,
): ConfigurationEntry | undefined {
  if (event.value === undefined) return undefined;
  return JSON.parse(event.value) as ConfigurationEntry;
}

function toSnapshotPrefix(sequence: number): string {
  return `${SNAPSHOT_PREFIX}${String(sequence).padStart(12, "0")}/`;
}

function splitParts(resources: readonly Resource[]): readonly string[] {
  const parts: Resource[][] = [[]];
  let size = 0;
  resources.forEach((resource) => {
    const bytes = JSON.stringify(resource).length;
    if (size + bytes > MAX_PART_BYTES) {
      parts.push([]);
      size = 0;
    }
    parts.at(-1)!.push(resource);
    size += bytes;
  });
  return parts.map((part) => JSON.stringify(part));
}
