import type { KnownState } from "../fleet/mod.ts";
import type { StoreEntry } from "../store/mod.ts";

/** Everything that an instance knows of the store, to hand to another one. */
export interface StateCopy {
  readonly revision: number;
  readonly entries: readonly StoreEntry[];
}

/** Where an instance learns routes and servers from. */
export interface StateSource {
  /** How much is known. */
  readonly known: KnownState;
  /** Whether a configuration is in force. */
  readonly isLoaded: boolean;
  /** Whether the source answered the last time. */
  readonly isReachable: boolean;
  /** Addresses of other instances that the source names. */
  readonly instanceAddresses: readonly string[];
  /** Returns a copy for a peer. */
  createCopy(): StateCopy;
  /**
   * Takes the copy of a peer that knows more.
   *
   * @returns Whether it was newer.
   */
  applyCopy(copy: StateCopy): boolean;
  /** Drops what did not come back after an outage. */
  sweep(): void;
  /** Follows the source until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}
