import { err, ok, type Result } from "neverthrow";
import type { ChangeId } from "../ids/mod.ts";
import type {
  Store,
  StoreCallOptions,
  StoreEntry,
  StoreFailure,
} from "./store.ts";

/** Outcome of a change. */
export type ChangeOutcome<T> =
  | {
    readonly kind: "written";
    readonly document: T;
    readonly revision: number;
  }
  /** `update` declined: the document already has the requested state, or must not change. */
  | {
    readonly kind: "declined";
    readonly document: T | undefined;
    readonly revision: number;
  };

/** A document that holds the ids of the last changes written to it. */
export interface ChangeLog {
  /** Newest last; at most {@linkcode MAX_CHANGE_IDS}. */
  readonly changeIds: readonly ChangeId[];
}

/** A change to one JSON document under one key. */
export interface DocumentChange<T extends ChangeLog> {
  readonly key: string;
  readonly changeId: ChangeId;
  /** Returns the new document, or `undefined` to decline. Called once per attempt. */
  readonly update: (current: T | undefined) => Omit<T, "changeIds"> | undefined;
  /** Document and revision as last read, which saves the first read. Default: it is read. */
  readonly known?: {
    readonly document: T | undefined;
    readonly revision: number;
  };
}

/** Number of change ids that a document holds, so that a writer can find its own among them. */
export const MAX_CHANGE_IDS = 32;
const MAX_ATTEMPTS = 8;

/**
 * Changes one document by compare-and-swap. If the response to a write is lost, the
 * document is read again and searched for the change id before any further write.
 *
 * @param store Store that holds the document.
 * @param change Key, change id and update function.
 * @param options Class of the calls and signal.
 * @returns `written` only if the write is known to have taken effect; a failure of
 *   kind `unknown` if it is not known whether it has.
 */
export async function writeChange<T extends ChangeLog>(
  store: Store,
  change: DocumentChange<T>,
  options: StoreCallOptions = {},
): Promise<Result<ChangeOutcome<T>, StoreFailure>> {
  let known = change.known;
  let isUncertain = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (known === undefined) {
      const read = await store.read(change.key, options);
      if (read.isErr()) {
        return err(isUncertain ? toUnknown(read.error) : read.error);
      }
      known = decodeEntry<T>(read.value);
    }
    if (known.document?.changeIds.includes(change.changeId)) {
      return ok({
        kind: "written",
        document: known.document,
        revision: known.revision,
      });
    }
    const body = change.update(known.document);
    if (body === undefined) return ok({ kind: "declined", ...known });
    const changeIds = [...(known.document?.changeIds ?? []), change.changeId]
      .slice(
        -MAX_CHANGE_IDS,
      );
    const document = { ...body, changeIds } as unknown as T;
    const swapped = await store.swap({
      key: change.key,
      expectedRevision: known.revision,
      value: JSON.stringify(document),
    }, options);
    if (swapped.isOk() && swapped.value.kind === "written") {
      return ok({
        kind: "written",
        document,
        revision: swapped.value.revision,
      });
    }
    if (swapped.isErr() && swapped.error.kind !== "unknown") {
      return err(isUncertain ? toUnknown(swapped.error) : swapped.error);
    }
    // A retry after a lost response is safe, since the swap still expects the old revision.
    isUncertain ||= swapped.isErr();
    known = undefined;
  }
  const message =
    `Cannot change ${change.key}: no success in ${MAX_ATTEMPTS} tries`;
  return err({ kind: isUncertain ? "unknown" : "unavailable", message });
}

function decodeEntry<T>(
  entry: StoreEntry | undefined,
): { readonly document: T | undefined; readonly revision: number } {
  if (entry === undefined) return { document: undefined, revision: 0 };
  return { document: JSON.parse(entry.value) as T, revision: entry.revision };
}

function toUnknown(failure: StoreFailure): StoreFailure {
  return { kind: "unknown", message: failure.message };
}
