import type { Result } from "neverthrow";

/** Reason why a call to the store returned no result. */
export type StoreFailure =
  /** The store did not accept the call: nothing was changed. */
  | { readonly kind: "unavailable"; readonly message: string }
  /** The answer is lost: a write may or may not have taken effect. */
  | { readonly kind: "unknown"; readonly message: string }
  /** The call was not sent, to stay within the call budget of this daemon. */
  | { readonly kind: "over-budget"; readonly message: string }
  /** The value is over {@linkcode MAX_VALUE_BYTES}. */
  | { readonly kind: "too-large"; readonly message: string };

/** Maximum size of a value that the store accepts, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** A key with its value and the revision of its last write. */
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

/** Outcome of a compare-and-swap whose response was received. */
export type SwapOutcome =
  | { readonly kind: "written"; readonly revision: number }
  | { readonly kind: "conflict" };

/** A change that a watch reports. */
export interface StoreEvent {
  readonly key: string;
  /** `undefined`: the key was deleted. */
  readonly value: string | undefined;
  readonly revision: number;
}

/** Classes of store calls, in descending order of priority. */
export type StoreCallClass =
  | "journal"
  | "lease"
  | "configuration"
  | "batch"
  | "usage";

/** Options of a store call. */
export interface StoreCallOptions {
  /** Class that decides the priority in the call budget. Default: `"configuration"`. */
  readonly callClass?: StoreCallClass;
  /** Cancels the call. Default: none. */
  readonly signal?: AbortSignal;
}

/** Result of a store call. */
export type StoreResult<T> = Promise<Result<T, StoreFailure>>;

/**
 * The platform's key-value service: reads, single-key compare-and-swap, leases
 * and watches. No other feature of that service is used.
 */
export interface Store {
  /** Reads one key; returns `undefined` if it does not exist. */
  read(
    key: string,
    options?: StoreCallOptions,
  ): StoreResult<StoreEntry | undefined>;
  /** Reads all keys with a prefix in one call, sorted by key. */
  readPrefix(
    prefix: string,
    options?: StoreCallOptions,
  ): StoreResult<readonly StoreEntry[]>;
  /** Writes or deletes one key if it still has the expected revision. */
  swap(swap: Swap, options?: StoreCallOptions): StoreResult<SwapOutcome>;
  /** Creates a lease and returns its id. */
  grantLease(ttlMs: number, options?: StoreCallOptions): StoreResult<string>;
  /** Renews a lease; returns `false` if it has expired. */
  renewLease(leaseId: string, options?: StoreCallOptions): StoreResult<boolean>;
  /** Ends a lease and deletes the keys under it. */
  revokeLease(leaseId: string, options?: StoreCallOptions): StoreResult<void>;
  /**
   * Reports changes of keys with a prefix until the signal aborts or the
   * connection to the store is lost. The iterator then ends, and the watcher has
   * to read the keys again.
   */
  watch(prefix: string, signal: AbortSignal): AsyncIterable<StoreEvent>;
}
