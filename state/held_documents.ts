import type { StoreEntry, StorePosition } from "../store/mod.ts";
import { RemovalLog, type RemovedKey } from "./removal_log.ts";
import type { StateDocument } from "./state_change.ts";
import type { StateCopy } from "./state_source.ts";

interface Held {
  /** Last revision of the key that was judged in the era of the store; 0: none. */
  readonly revision: number;
  /** What copies for peers carry. */
  readonly entry: StoreEntry;
  readonly document: StateDocument;
  /** Whether it was written in an earlier era, and the store does not have it again. */
  readonly isOfEarlierEra: boolean;
}

/** What a copy says beside the documents. */
export type CopyState = Omit<
  StateCopy,
  "afterRevision" | "entries" | "removed"
>;

/** The documents of the store as last seen, and those that were removed lately. */
export class HeldDocuments {
  #held = new Map<string, Held>();
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

  /** Whether what a key says was written in an earlier era, and not again. */
  isOfEarlierEra(key: string): boolean {
    return this.#held.get(key)?.isOfEarlierEra ?? false;
  }

  /** Whether an entry, or a later one of its key, was taken or refused before. */
  isJudged({ key, revision }: StoreEntry): boolean {
    return (this.#held.get(key)?.revision ?? 0) >= revision;
  }

  /** Takes an entry with what it says. */
  put(entry: StoreEntry, document: StateDocument): void {
    const { key, revision } = entry;
    this.#held.set(key, { revision, entry, document, isOfEarlierEra: false });
  }

  /** Passes over an entry: what its key said before stays, here and in copies. */
  passOver({ key, revision }: StoreEntry): void {
    const before = this.#held.get(key);
    if (before !== undefined) this.#held.set(key, { ...before, revision });
  }

  /** Takes what another instance holds of an earlier era, and the store no more. */
  carryOver(entry: StoreEntry, document: StateDocument): void {
    const revision = this.#held.get(entry.key)?.revision ?? 0;
    this.#held.set(entry.key, {
      revision,
      entry,
      document,
      isOfEarlierEra: true,
    });
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

  /**
   * Begins a new era of the store: revisions of before say nothing of those to come.
   * Of what the store does not list any more, configurations stay.
   *
   * @param keys All that it lists.
   * @returns What else it does not list, which is dropped.
   */
  beginEra(
    keys: ReadonlySet<string>,
  ): ReadonlyMap<string, StateDocument> {
    const isKept = (key: string, { document }: Held) =>
      keys.has(key) || document.kind === "configuration";
    const held = [...this.#held];
    const missing = held.filter(([key, each]) => !isKept(key, each));
    this.#held = new Map(
      held.filter(([key, each]) => isKept(key, each)).map(([key, each]) => [
        key,
        { ...each, revision: 0, isOfEarlierEra: true },
      ]),
    );
    return new Map(missing.map(([key, { document }]) => [key, document]));
  }

  /** Forgets removals: a full read does not say which there were. */
  restartRemovals(revision: number): void {
    this.#removals.restart(revision);
  }

  /**
   * Returns a copy for a peer.
   *
   * @param after Up to where the peer knows all.
   * @param state What else the copy says.
   */
  createCopy(after: StorePosition, state: CopyState): StateCopy {
    const held = [...this.#held.values()];
    const removed = after.era === state.era
      ? this.#removals.listAfter(after.revision)
      : undefined;
    if (removed === undefined) {
      const entries = held.map(toCopied);
      return { ...state, afterRevision: 0, entries, removed: [] };
    }
    const changed = held.filter(({ isOfEarlierEra, revision }) =>
      isOfEarlierEra || revision > after.revision
    );
    const entries = changed.map(toCopied);
    return { ...state, afterRevision: after.revision, entries, removed };
  }
}

function toCopied({ entry, revision }: Held): StoreEntry {
  return { ...entry, revision };
}
