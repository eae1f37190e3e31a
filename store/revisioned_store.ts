import type {
  Store,
  StoreCallOptions,
  StoreEntry,
  StoreEvent,
  StoreResult,
} from "./store.ts";
import type { StorePosition } from "./store_position.ts";

/** All keys with a prefix, and the position from which a watch continues. */
export interface StoreSnapshot extends StorePosition {
  readonly entries: readonly StoreEntry[];
}

/** Result of a wait for changes after a revision. */
export type StoreChanges =
  /** All changes after the revision, up to a position. */
  | (StorePosition & {
    readonly kind: "changes";
    readonly events: readonly StoreEvent[];
  })
  /** The store no longer has that part of its history: read a new snapshot. */
  | { readonly kind: "compacted"; readonly era: number };

/** A request to wait for changes. */
export interface AwaitChangesRequest {
  readonly prefix: string;
  readonly afterRevision: number;
  /** Maximum wait at the store, in milliseconds. */
  readonly waitMs: number;
}

/** A store whose watches can continue from a revision. */
export interface RevisionedStore extends Store {
  /** Reads all keys with a prefix. */
  readSnapshot(
    prefix: string,
    options?: StoreCallOptions,
  ): StoreResult<StoreSnapshot>;
  /** Waits for changes after a revision; returns an empty list if none occur within `waitMs`. */
  awaitChanges(
    request: AwaitChangesRequest,
    options?: StoreCallOptions,
  ): StoreResult<StoreChanges>;
}
