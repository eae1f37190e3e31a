import type { KnownState } from "../fleet/mod.ts";
import type { StoreEntry, StorePosition } from "../store/mod.ts";
import type { RemovedKey } from "./removal_log.ts";
import type { RolloutDocuments } from "./rollout_documents.ts";
import type { RegisteredInstance } from "./state_document.ts";

/** What an instance knows of the store, as a copy for another instance. */
export interface StateCopy extends StorePosition {
  /** Version of the configuration in force at the sender; 0: none. */
  readonly configurationVersion: number;
  /** Revision after which the copy lists all changes; 0: it is complete. */
  readonly afterRevision: number;
  readonly entries: readonly StoreEntry[];
  /** Keys removed after that revision; none in a complete copy. */
  readonly removed: readonly RemovedKey[];
  /** Whether removed servers may come back, since the store had an outage lately. */
  readonly isAfterOutage: boolean;
}

/** Source from which an instance learns routes and servers. */
export interface StateSource {
  /** Version and position up to which the state is known. */
  readonly known: KnownState;
  /** Whether a configuration is in force. */
  readonly isLoaded: boolean;
  /** Whether the source answered the last call. */
  readonly isReachable: boolean;
  /** Addresses of other instances that the source lists. */
  readonly instanceAddresses: readonly string[];
  /** Other instances that the source lists. Default: none. */
  readonly instances?: readonly RegisteredInstance[];
  /** Orders and records of rollouts. Default: none. */
  readonly rollouts?: RolloutDocuments;
  /**
   * Returns a copy for a peer.
   *
   * @param after Position up to which the peer knows everything.
   */
  createCopy(after: StorePosition): StateCopy;
  /**
   * Applies the copy of a peer that knows more.
   *
   * @returns Whether anything in it was newer.
   */
  applyCopy(copy: StateCopy): boolean;
  /** Drops what did not come back in time after an outage. */
  sweep(): void;
  /** Follows the source until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}
