import type {
  Store,
  StoreCallOptions,
  StoreEntry,
  StoreEvent,
  StoreResult,
} from "./store.ts";

/** All keys with a prefix, and the revision from which a watch goes on. */
export interface StoreSnapshot {
  readonly entries: readonly StoreEntry[];
  readonly revision: number;
}

/** What happened after a revision. */
export type StoreChanges =
  | {
    readonly kind: "changes";
    readonly events: readonly StoreEvent[];
    /** Up to which revision all changes were seen. */
    readonly revision: number;
  }
  /** The store has dropped that part of its history: read anew. */
  | { readonly kind: "compacted" };

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
