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

/** Counters of all incarnations that are gone. */
export interface FoldedUsage extends ChangeLog {
  readonly totals: UsageTotals;
  /** Keys whose counters are in the totals and that may still exist. */
  readonly folded: readonly string[];
}

/** What folding needs. */
export interface FoldParts {
  readonly store: Store;
  readonly createChangeId: () => ChangeId;
  /** Whether an incarnation is gone, as far as is known; it need not be certain. */
  readonly isGone: (incarnation: string) => boolean;
  readonly nowMs: number;
}

const FOLDED_KEY = "/havenspur/usage/folded";
const QUIET_MS = 60_000;
/** Sealed documents are kept so long, so that a paused writer finds its own. */
const KEPT_MS = 86_400_000;
const OPTIONS = { callClass: "usage" } as const;

/**
 * Folds the counters of incarnations that are gone into the totals: first each
 * document is sealed, then it is added and noted in one compare-and-swap. Any
 * step may be repeated, by anyone, at any time.
 *
 * @param parts Store and knowledge of incarnations.
 * @returns The number of documents folded.
 */
export async function foldUsage(
  parts: FoldParts,
): Promise<Result<number, StoreFailure>> {
  const { store, nowMs } = parts;
  const live = await store.readPrefix(LIVE_USAGE_PREFIX, OPTIONS);
  if (live.isErr()) return err(live.error);
  const entries = live.value.map(({ key, value, revision }) => ({
    key,
    document: JSON.parse(value) as UsageDocument,
    revision,
  }));
  const due = entries.filter(({ key, document }) =>
    document.isSealed || (parts.isGone(toIncarnationPart(key)) &&
      nowMs - document.flushedMs > QUIET_MS)
  );
  let folded = 0;
  for (const { key } of due) {
    const sealed = await sealDocument(parts, key);
    if (sealed.isErr()) return err(sealed.error);
    const isNew = await addDocument(parts, key, sealed.value);
    if (isNew.isErr()) return err(isNew.error);
    if (isNew.value) folded++;
  }
  const old = entries.filter(({ document }) =>
    document.isSealed && nowMs - document.flushedMs > KEPT_MS
  );
  await removeDocuments(parts, old);
  return ok(folded);
}

/**
 * Returns what every team used: the folded totals and what incarnations hold.
 *
 * @param store The store.
 */
export async function readUsage(
  store: Store,
): Promise<Result<UsageTotals, StoreFailure>> {
  // The folded totals first: a document folded in between is then missed, not counted twice.
  const total = await store.read(FOLDED_KEY, OPTIONS);
  if (total.isErr()) return err(total.error);
  const folded = total.value && JSON.parse(total.value.value) as FoldedUsage;
  const live = await store.readPrefix(LIVE_USAGE_PREFIX, OPTIONS);
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
  }, OPTIONS);
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
  }, OPTIONS);
  return added.map(({ kind }) => kind === "written");
}

/** The note of a document goes after the document itself: it can then no longer be folded again. */
async function removeDocuments(
  { store, createChangeId }: FoldParts,
  old: readonly { readonly key: string; readonly revision: number }[],
): Promise<void> {
  const removed: string[] = [];
  for (const { key, revision } of old) {
    const swap = { key, expectedRevision: revision, value: undefined };
    const swapped = await store.swap(swap, OPTIONS);
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
  }, OPTIONS);
}

function toIncarnationPart(key: string): string {
  const rest = key.slice(LIVE_USAGE_PREFIX.length);
  return rest.slice(0, rest.lastIndexOf("/"));
}
