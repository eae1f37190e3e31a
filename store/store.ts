import type { Result } from "neverthrow";

/** Why a call to the store gave no result. */
export type StoreFailure =
  /** The store did not take the call: nothing was changed. */
  | { readonly kind: "unavailable"; readonly message: string }
  /** The answer is lost: a write may or may not have taken effect. */
  | { readonly kind: "unknown"; readonly message: string }
  /** The call was held back here, to stay inside the budget. */
  | { readonly kind: "over-budget"; readonly message: string }
  /** The value is over {@linkcode MAX_VALUE_BYTES}. */
  | { readonly kind: "too-large"; readonly message: string };

/** Largest value that the store takes, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** A key with its value and the store's revision of the last write to it. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  /** The store's revision at the last write. */
  readonly revision: number;
}

/** A compare-and-swap of one key. */
export interface Swap {
  readonly key: string;
  /** Revision that the key must have; 0: the key must not exist. */
  readonly expectedRevision: number;
  /** The new value; `undefined` deletes the key. */
  readonly value: string | undefined;
  /** Lease that the key lives under. Default: none. */
  readonly leaseId?: string;
}

/** End of a compare-and-swap whose answer is known. */
export type SwapOutcome =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict" };

/** What a watch reports. */
export interface StoreEvent {
  readonly key: string;
  /** `undefined`: the key was deleted. */
  readonly value: string | undefined;
  readonly revision: number;
}

/** Classes of store calls, the most important first. */
export type StoreClass =
  | "journal"
  | "lease"
  | "configuration"
  | "batch"
  | "usage";

/** Optional parts of a store call. */
export interface StoreCallOptions {
  /** Class for the budget. Default: `"configuration"`. */
  readonly callClass?: StoreClass;
  /** Ends the call early. Default: none. */
  readonly signal?: AbortSignal;
}

/** End of a store call. */
export type StoreResult<T> = Promise<Result<T, StoreFailure>>;

/**
 * The platform's key-value service: reads, single-key compare-and-swap, leases
 * and watches. Nothing else of it is relied on.
 */
export interface Store {
  /** Reads one key; `undefined` when it does not exist. */
  read(
    key: string,
    options?: StoreCallOptions,
  ): StoreResult<StoreEntry | undefined>;
  /** Reads all keys with a prefix, in order of key, in one call. */
  readPrefix(
    prefix: string,
    options?: StoreCallOptions,
  ): StoreResult<readonly StoreEntry[]>;
  /** Writes or deletes one key if it still has the expected revision. */
  swap(swap: Swap, options?: StoreCallOptions): StoreResult<SwapOutcome>;
  /** Creates a lease and returns its id. */
  grantLease(ttlMs: number, options?: StoreCallOptions): StoreResult<string>;
  /** Prolongs a lease; `false` when it has lapsed. */
  renewLease(leaseId: string, options?: StoreCallOptions): StoreResult<boolean>;
  /** Ends a lease and deletes the keys under it. */
  revokeLease(leaseId: string, options?: StoreCallOptions): StoreResult<void>;
  /**
   * Reports changes of keys with a prefix until the signal aborts or the store
   * is lost; then the iterator ends and the watcher reads afresh.
   */
  watch(prefix: string, signal: AbortSignal): AsyncIterable<StoreEvent>;
}
