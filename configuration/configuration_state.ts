import {
  applyEntry,
  type Catalog,
  type CatalogView,
  type ConfigurationEntry,
  createCatalogView,
  EMPTY_CATALOG,
  type Resource,
} from "../resources/mod.ts";

/** A whole catalog, for an instance that is far behind. */
export interface CatalogSnapshot {
  readonly sequence: number;
  readonly resources: readonly Resource[];
}

/** What a peer answers to an instance that is behind. */
export type CatchUpAnswer =
  | {
    readonly kind: "entries";
    readonly entries: readonly ConfigurationEntry[];
  }
  | { readonly kind: "snapshot"; readonly snapshot: CatalogSnapshot };

/** Outcome of applying an entry. */
export type ApplyOutcome =
  | { readonly kind: "applied" }
  | { readonly kind: "stale" }
  | { readonly kind: "gap"; readonly next: number };

const MAX_RECENT_ENTRIES = 512;

/** Holds the configuration in force at one instance. All changes are applied here. */
export class ConfigurationState {
  /**
   * Number of entries that were dropped because they were not newer than what is in
   * force, and of snapshots that were older.
   */
  staleCount = 0;
  #view: CatalogView = createCatalogView(EMPTY_CATALOG);
  #recent: ConfigurationEntry[] = [];
  #isLoaded = false;
  readonly #listeners = new Set<
    (entry: ConfigurationEntry | undefined) => void
  >();

  /** Indexes over the catalog in force. */
  get view(): CatalogView {
    return this.#view;
  }

  /** Catalog in force. */
  get catalog(): Catalog {
    return this.#view.catalog;
  }

  /** Sequence number of the last change in force. */
  get sequence(): number {
    return this.#view.catalog.sequence;
  }

  /**
   * Whether the store or a peer has reported what is in force. Until then, the
   * instance is not ready.
   */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Records that the source of the configuration was read to its end. */
  markLoaded(): void {
    this.#isLoaded = true;
  }

  /** The most recent entries, oldest first. */
  get recent(): readonly ConfigurationEntry[] {
    return this.#recent;
  }

  /**
   * Calls a listener after each change of what is in force.
   *
   * @param listener Receives the entry, or `undefined` for a snapshot.
   * @returns A function that ends the subscription.
   */
  subscribe(
    listener: (entry: ConfigurationEntry | undefined) => void,
  ): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Puts an entry in force, if it is the next one.
   *
   * @param entry Entry from the store or a peer.
   */
  apply(entry: ConfigurationEntry): ApplyOutcome {
    const applied = applyEntry(this.catalog, entry);
    if (applied.isErr()) {
      if (applied.error.kind === "stale") this.staleCount++;
      return applied.error;
    }
    this.#view = createCatalogView(applied.value);
    this.#recent = [...this.#recent, entry].slice(-MAX_RECENT_ENTRIES);
    this.#isLoaded = true;
    this.#listeners.forEach((listener) => listener(entry));
    return { kind: "applied" };
  }

  /**
   * Puts a snapshot in force, if it is newer.
   *
   * @param snapshot Snapshot from the store or a peer.
   * @returns Whether it was newer.
   */
  applySnapshot(snapshot: CatalogSnapshot): boolean {
    this.#isLoaded = true;
    if (snapshot.sequence <= this.sequence) {
      if (snapshot.sequence < this.sequence) this.staleCount++;
      return false;
    }
    const resources = new Map(
      snapshot.resources.map((
        resource,
      ) => [`${resource.kind}/${resource.name}`, resource]),
    );
    this.#view = createCatalogView({
      sequence: snapshot.sequence,
      resources,
      operators: new Map(),
    });
    this.#recent = [];
    this.#listeners.forEach((listener) => listener(undefined));
    return true;
  }

  /** Returns everything in force. */
  toSnapshot(): CatalogSnapshot {
    return {
      sequence: this.sequence,
      resources: [...this.catalog.resources.values()],
    };
  }

  /**
   * Returns what a peer lacks: the entries if they are still held, otherwise a snapshot.
   *
   * @param after Sequence number in force at the peer.
   */
  readAfter(after: number): CatchUpAnswer {
    const entries = this.#recent.filter(({ sequence }) => sequence > after);
    const first = entries[0]?.sequence ?? this.sequence + 1;
    if (after >= this.sequence || first === after + 1) {
      return { kind: "entries", entries };
    }
    return { kind: "snapshot", snapshot: this.toSnapshot() };
  }
}
