import type { KnownState } from "../fleet/mod.ts";
import type { StoreEntry, StorePosition } from "../store/mod.ts";
import type { RemovedKey } from "./removal_log.ts";

/** What an instance knows of the store, to hand to another one. */
export interface StateCopy extends StorePosition {
  /** Version of the configuration that is in force there; 0: none. */
  readonly configurationVersion: number;
  /** Revision that it goes on from; 0: it holds everything. */
  readonly afterRevision: number;
  readonly entries: readonly StoreEntry[];
  /** Keys that were removed since; none in a copy of everything. */
  readonly removed: readonly RemovedKey[];
  /** Whether servers among the removed may come back: the store was away lately. */
  readonly isAfterOutage: boolean;
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
  /**
   * Returns a copy for a peer.
   *
   * @param after Up to where the peer knows all.
   */
  createCopy(after: StorePosition): StateCopy;
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
