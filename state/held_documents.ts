import type { StoreEntry } from "../store/mod.ts";
import { RemovalLog, type RemovedKey } from "./removal_log.ts";
import type { StateDocument } from "./state_change.ts";
import type { StateCopy } from "./state_source.ts";

interface Held {
  /** Last revision of the key that was judged. */
  readonly revision: number;
  /** What copies for peers carry. */
  readonly entry: StoreEntry;
  readonly document: StateDocument;
}

/** What a copy says beside the documents. */
export type CopyState = Pick<
  StateCopy,
  "era" | "revision" | "isAfterOutage"
>;

/** The documents of the store as last seen, and those that were removed lately. */
export class HeldDocuments {
  readonly #held = new Map<string, Held>();
  readonly #removals = new RemovalLog();

  /** All documents. */
  get documents(): readonly StateDocument[] {
    return [...this.#held.values()].map(({ document }) => document);
  }

  /** Returns the entry of a key as last taken. */
  readEntry(key: string): StoreEntry | undefined {
    return this.#held.get(key)?.entry;
  }

  /** Returns what a key says. */
  readDocument(key: string): StateDocument | undefined {
    return this.#held.get(key)?.document;
  }

  /** Whether an entry, or a later one of its key, was taken or refused before. */
  isJudged({ key, revision }: StoreEntry): boolean {
    return (this.#held.get(key)?.revision ?? 0) >= revision;
  }

  /** Takes an entry with what it says. */
  put(entry: StoreEntry, document: StateDocument): void {
    const { key, revision } = entry;
    this.#held.set(key, { revision, entry, document });
  }

  /** Passes over an entry: what its key said before stays, here and in copies. */
  passOver({ key, revision }: StoreEntry): void {
    const before = this.#held.get(key);
    if (before !== undefined) this.#held.set(key, { ...before, revision });
  }

  /**
   * Takes the removal of a key.
   *
   * @returns What it said.
   */
  remove(removed: RemovedKey): StateDocument | undefined {
    const document = this.readDocument(removed.key);
    this.#held.delete(removed.key);
    this.#removals.record(removed);
    return document;
  }

  /** Drops what a full read no longer lists. */
  keepOnly(keys: ReadonlySet<string>): void {
    [...this.#held.keys()].filter((key) => !keys.has(key))
      .forEach((key) => this.#held.delete(key));
  }

  /** Forgets removals: a full read does not say which there were. */
  restartRemovals(revision: number): void {
    this.#removals.restart(revision);
  }

  /**
   * Returns a copy for a peer.
   *
   * @param afterRevision Up to which the peer knows all; 0: nothing.
   * @param state What else the copy says.
   */
  createCopy(afterRevision: number, state: CopyState): StateCopy {
    const entries = [...this.#held.values()].map(({ entry }) => entry);
    const removed = this.#removals.listAfter(afterRevision);
    if (removed === undefined) {
      return { ...state, afterRevision: 0, entries, removed: [] };
    }
    const changed = entries.filter(({ revision }) => revision > afterRevision);
    return { ...state, afterRevision, entries: changed, removed };
  }
}
