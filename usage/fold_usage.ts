import { err, ok, type Result } from "neverthrow";
import type { ChangeId } from "../ids/mod.ts";
import {
  type ChangeLog,
  type Store,
  type StoreFailure,
  writeChange,
} from "../store/mod.ts";
import { LIVE_USAGE_PREFIX, type UsageDocument } from "./usage_flusher.ts";
import { addTotals, type UsageTotals } from "./usage_meter.ts";

/** Sum of the counters of dead incarnations. */
export interface FoldedUsage extends ChangeLog {
  readonly totals: UsageTotals;
  /** Keys of the documents whose counters are in the totals and that may still exist. */
  readonly folded: readonly string[];
}

/** What {@linkcode foldUsage} needs. */
export interface FoldParts {
  readonly store: Store;
  readonly createChangeId: () => ChangeId;
  /** Returns whether an incarnation is dead, as far as is known; it need not be certain. */
  readonly isDead: (incarnation: string) => boolean;
  readonly nowMs: number;
}

const FOLDED_KEY = "/havenspur/usage/folded";
/** Time without a flush after which the counters of a dead incarnation are folded. */
const MIN_IDLE_MS = 60_000;
/** How long sealed documents are kept, so that a writer that was paused finds its own. */
const SEALED_RETENTION_MS = 86_400_000;
const CALL_OPTIONS = { callClass: "usage" } as const;

/**
 * Folds the counters of dead incarnations into the totals. Each document is sealed
 * first; then its counters are added and its key is recorded in one compare-and-swap.
 * Any instance may repeat any step at any time.
 *
 * @param parts Store, source of change ids, and what is known of incarnations.
 * @returns The number of documents folded.
 */
export async function foldUsage(
  parts: FoldParts,
): Promise<Result<number, StoreFailure>> {
  const { store, nowMs } = parts;
  const live = await store.readPrefix(LIVE_USAGE_PREFIX, CALL_OPTIONS);
  if (live.isErr()) return err(live.error);
  const entries = live.value.map(({ key, value, revision }) => ({
    key,
    document: JSON.parse(value) as UsageDocument,
    revision,
  }));
  const due = entries.filter(({ key, document }) =>
    document.isSealed || (parts.isDead(toIncarnationPart(key)) &&
      nowMs - document.flushedMs > MIN_IDLE_MS)
  );
  let folded = 0;
  for (const { key } of due) {
    const sealed = await sealDocument(parts, key);
    if (sealed.isErr()) return err(sealed.error);
    const isNew = await addDocument(parts, key, sealed.value);
    if (isNew.isErr()) return err(isNew.error);
    if (isNew.value) folded++;
  }
  const expired = entries.filter(({ document }) =>
    document.isSealed && nowMs - document.flushedMs > SEALED_RETENTION_MS
  );
  await removeDocuments(parts, expired);
  return ok(folded);
}

/**
 * Returns what every team used: the folded totals plus the counters of all documents
 * that are not folded.
 *
 * @param store The store.
 */
export async function readUsage(
  store: Store,
): Promise<Result<UsageTotals, StoreFailure>> {
  // Reads the folded totals first: a document that is folded in between is then missed
  // rather than counted twice.
  const total = await store.read(FOLDED_KEY, CALL_OPTIONS);
  if (total.isErr()) return err(total.error);
  const folded = total.value && JSON.parse(total.value.value) as FoldedUsage;
  const live = await store.readPrefix(LIVE_USAGE_PREFIX, CALL_OPTIONS);
  if (live.isErr()) return err(live.error);
  return ok(
    live.value.filter(({ key }) => !(folded?.folded.includes(key) ?? false))
      .map(({ value }) => (JSON.parse(value) as UsageDocument).totals)
      .reduce(addTotals, folded?.totals ?? {}),
  );
}

async function sealDocument(
  { store, createChangeId }: FoldParts,
  key: string,
): Promise<Result<UsageTotals, StoreFailure>> {
  const sealed = await writeChange<UsageDocument>(store, {
    key,
    changeId: createChangeId(),
    update: (current) =>
      current === undefined || current.isSealed
        ? undefined
        : { ...current, isSealed: true },
  }, CALL_OPTIONS);
  return sealed.map(({ document }) => document?.totals ?? {});
}

async function addDocument(
  { store, createChangeId }: FoldParts,
  key: string,
  totals: UsageTotals,
): Promise<Result<boolean, StoreFailure>> {
  const added = await writeChange<FoldedUsage>(store, {
    key: FOLDED_KEY,
    changeId: createChangeId(),
    update: (current) => {
      const folded = current?.folded ?? [];
      if (folded.includes(key)) return undefined;
      return {
        totals: addTotals(current?.totals ?? {}, totals),
        folded: [...folded, key],
      };
    },
  }, CALL_OPTIONS);
  return added.map(({ kind }) => kind === "written");
}

/**
 * Removes documents, and only then their keys from the totals: a document that no
 * longer exists can't be folded again.
 */
async function removeDocuments(
  { store, createChangeId }: FoldParts,
  expired: readonly { readonly key: string; readonly revision: number }[],
): Promise<void> {
  const removed: string[] = [];
  for (const { key, revision } of expired) {
    const swap = { key, expectedRevision: revision, value: undefined };
    const swapped = await store.swap(swap, CALL_OPTIONS);
    if (swapped.isOk() && swapped.value.kind === "written") removed.push(key);
  }
  if (removed.length === 0) return;
  await writeChange<FoldedUsage>(store, {
    key: FOLDED_KEY,
    changeId: createChangeId(),
    update: (current) =>
      current && {
        totals: current.totals,
        folded: current.folded.filter((key) => !removed.includes(key)),
      },
  }, CALL_OPTIONS);
}

function toIncarnationPart(key: string): string {
  const rest = key.slice(LIVE_USAGE_PREFIX.length);
  return rest.slice(0, rest.lastIndexOf("/"));
}
