import type { StoreEntry, StorePosition } from "../store/mod.ts";
import { RemovalLog, type RemovedKey } from "./removal_log.ts";
import type { StateDocument } from "./state_document.ts";
import type { StateCopy } from "./state_source.ts";

interface CachedDocument {
  /** Last revision of the key that was processed in the current era of the store; 0: none. */
  readonly revision: number;
  /** The entry that copies for peers contain. */
  readonly entry: StoreEntry;
  readonly document: StateDocument;
  /** Whether it was written in an earlier era, and has not been seen again in the current one. */
  readonly isOfEarlierEra: boolean;
}

/** Fields of a copy other than its documents and removals. */
export type CopyFields = Omit<
  StateCopy,
  "afterRevision" | "entries" | "removed"
>;

/** Cache of the documents in the store, as last seen, with recent removals. */
export class DocumentCache {
  #cached = new Map<string, CachedDocument>();
  readonly #removals = new RemovalLog();

  /** All cached documents. */
  get documents(): readonly StateDocument[] {
    return [...this.#cached.values()].map(({ document }) => document);
  }

  /** Returns the entry of a key, as last accepted. */
  readEntry(key: string): StoreEntry | undefined {
    return this.#cached.get(key)?.entry;
  }

  /** Returns the document of a key. */
  readDocument(key: string): StateDocument | undefined {
    return this.#cached.get(key)?.document;
  }

  /** Returns whether the document of a key was written in an earlier era, and not again. */
  isOfEarlierEra(key: string): boolean {
    return this.#cached.get(key)?.isOfEarlierEra ?? false;
  }

  /** Returns whether this or a later entry of its key was accepted or refused before. */
  isProcessed({ key, revision }: StoreEntry): boolean {
    return (this.#cached.get(key)?.revision ?? 0) >= revision;
  }

  /** Stores an entry with its decoded document. */
  put(entry: StoreEntry, document: StateDocument): void {
    const { key, revision } = entry;
    this.#cached.set(key, { revision, entry, document, isOfEarlierEra: false });
  }

  /** Skips an entry: the earlier document of its key stays, here and in copies. */
  skip({ key, revision }: StoreEntry): void {
    const before = this.#cached.get(key);
    if (before !== undefined) this.#cached.set(key, { ...before, revision });
  }

  /** Stores a document of an earlier era that another instance has and the store lost. */
  putOfEarlierEra(entry: StoreEntry, document: StateDocument): void {
    const revision = this.#cached.get(entry.key)?.revision ?? 0;
    this.#cached.set(entry.key, {
      revision,
      entry,
      document,
      isOfEarlierEra: true,
    });
  }

  /**
   * Removes a key.
   *
   * @returns The document that it had.
   */
  remove(removed: RemovedKey): StateDocument | undefined {
    const document = this.readDocument(removed.key);
    this.#cached.delete(removed.key);
    this.#removals.record(removed);
    return document;
  }

  /** Drops the documents of all other keys: a full read no longer lists them. */
  keepOnly(keys: ReadonlySet<string>): void {
    [...this.#cached.keys()].filter((key) => !keys.has(key))
      .forEach((key) => this.#cached.delete(key));
  }

  /**
   * Begins a new era of the store, whose revisions can't be compared with earlier ones.
   * Documents that the store no longer lists are dropped, except configurations.
   *
   * @param keys All keys that the store lists.
   * @returns The dropped documents, by key.
   */
  beginEra(
    keys: ReadonlySet<string>,
  ): ReadonlyMap<string, StateDocument> {
    const isKept = (key: string, { document }: CachedDocument) =>
      keys.has(key) || document.kind === "configuration";
    const cached = [...this.#cached];
    const missing = cached.filter(([key, each]) => !isKept(key, each));
    this.#cached = new Map(
      cached.filter(([key, each]) => isKept(key, each)).map(([key, each]) => [
        key,
        { ...each, revision: 0, isOfEarlierEra: true },
      ]),
    );
    return new Map(missing.map(([key, { document }]) => [key, document]));
  }

  /** Forgets the removals: a full read does not list earlier ones. */
  resetRemovals(revision: number): void {
    this.#removals.reset(revision);
  }

  /**
   * Returns a copy for a peer.
   *
   * @param after Position up to which the peer knows everything.
   * @param state Other fields of the copy.
   */
  createCopy(after: StorePosition, state: CopyFields): StateCopy {
    const cached = [...this.#cached.values()];
    const removed = after.era === state.era
      ? this.#removals.listAfter(after.revision)
      : undefined;
    if (removed === undefined) {
      const entries = cached.map(toCopyEntry);
      return { ...state, afterRevision: 0, entries, removed: [] };
    }
    const changed = cached.filter(({ isOfEarlierEra, revision }) =>
      isOfEarlierEra || revision > after.revision
    );
    const entries = changed.map(toCopyEntry);
    return { ...state, afterRevision: after.revision, entries, removed };
  }
}

function toCopyEntry({ entry, revision }: CachedDocument): StoreEntry {
  return { ...entry, revision };
}
