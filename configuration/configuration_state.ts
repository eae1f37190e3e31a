import {
  applyEntry,
  type Catalog,
  type CatalogView,
  type ConfigurationEntry,
  createCatalogView,
  EMPTY_CATALOG,
  type Resource,
} from "../resources/mod.ts";

/** A whole catalog, for a daemon that is far behind. */
export interface CatalogSnapshot {
  readonly sequence: number;
  readonly resources: readonly Resource[];
}

/** What a peer answers to one that is behind. */
export type CatchUp =
  | {
    readonly kind: "entries";
    readonly entries: readonly ConfigurationEntry[];
  }
  | { readonly kind: "snapshot"; readonly snapshot: CatalogSnapshot };

/** What became of an entry. */
export type ApplyOutcome =
  | { readonly kind: "applied" }
  | { readonly kind: "stale" }
  | { readonly kind: "gap"; readonly next: number };

const KEPT_ENTRIES = 512;

/** The configuration in force at one daemon. Its one apply point. */
export class ConfigurationState {
  /** Entries that were dropped since they were not newer than what is in force. */
  staleCount = 0;
  #view: CatalogView = createCatalogView(EMPTY_CATALOG);
  #recent: ConfigurationEntry[] = [];
  #isLoaded = false;
  readonly #listeners = new Set<
    (entry: ConfigurationEntry | undefined) => void
  >();

  /** Indexes over what is in force. */
  get view(): CatalogView {
    return this.#view;
  }

  /** What is in force. */
  get catalog(): Catalog {
    return this.#view.catalog;
  }

  /** Sequence number of the last change in force. */
  get sequence(): number {
    return this.#view.catalog.sequence;
  }

  /** Whether the store or a peer has told what is in force; without it a daemon is not ready. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Records that the source of the configuration was read to its end. */
  markLoaded(): void {
    this.#isLoaded = true;
  }

  /** The entries still held, oldest first. */
  get recent(): readonly ConfigurationEntry[] {
    return this.#recent;
  }

  /**
   * Calls back after each change of what is in force.
   *
   * @param listener Gets the entry, or `undefined` for a snapshot.
   * @returns Ends the calls.
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
   * @param entry From the store or a peer.
   */
  apply(entry: ConfigurationEntry): ApplyOutcome {
    const applied = applyEntry(this.catalog, entry);
    if (applied.isErr()) {
      if (applied.error.kind === "stale") this.staleCount++;
      return applied.error;
    }
    this.#view = createCatalogView(applied.value);
    this.#recent = [...this.#recent, entry].slice(-KEPT_ENTRIES);
    this.#isLoaded = true;
    this.#listeners.forEach((listener) => listener(entry));
    return { kind: "applied" };
  }

  /**
   * Puts a snapshot in force, if it is newer.
   *
   * @param snapshot From the store or a peer.
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
   * Returns what a peer lacks: entries if they are still held, else a snapshot.
   *
   * @param after Sequence number in force at the peer.
   */
  readAfter(after: number): CatchUp {
    const entries = this.#recent.filter(({ sequence }) => sequence > after);
    const first = entries[0]?.sequence ?? this.sequence + 1;
    if (after >= this.sequence || first === after + 1) {
      return { kind: "entries", entries };
    }
    return { kind: "snapshot", snapshot: this.toSnapshot() };
  }
}
