import type {
  Store,
  StoreCallOptions,
  StoreEntry,
  StoreEvent,
  StoreResult,
} from "./store.ts";
import type { StorePosition } from "./store_position.ts";

/** All keys with a prefix, and the position from which a watch goes on. */
export interface StoreSnapshot extends StorePosition {
  readonly entries: readonly StoreEntry[];
}

/** What happened after a revision. */
export type StoreChanges =
  /** All changes up to a position. */
  | (StorePosition & {
    readonly kind: "changes";
    readonly events: readonly StoreEvent[];
  })
  /** The store does not have that part of its history: read anew. */
  | { readonly kind: "compacted"; readonly era: number };

/** What a wait for changes starts from. */
export interface AwaitChangesRequest {
  readonly prefix: string;
  readonly afterRevision: number;
  /** Longest wait at the store, in milliseconds. */
  readonly waitMs: number;
}

/** A store whose watches go on from a revision. */
export interface RevisionedStore extends Store {
  /** Reads all keys with a prefix. */
  readSnapshot(
    prefix: string,
    options?: StoreCallOptions,
  ): StoreResult<StoreSnapshot>;
  /** Waits for changes after a revision; none after `waitMs` is an empty list. */
  awaitChanges(
    request: AwaitChangesRequest,
    options?: StoreCallOptions,
  ): StoreResult<StoreChanges>;
}
