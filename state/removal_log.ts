/** A removed key, with the revision of its removal. */
export interface RemovedKey {
  readonly key: string;
  readonly revision: number;
}

/** Maximum number of removals kept: some minutes of them in a fleet of hundreds of servers. */
const MAX_REMOVALS = 256;

/** The latest removals, so that a peer that is slightly behind need not copy everything. */
export class RemovalLog {
  #removals: readonly RemovedKey[] = [];
  /** Removals after this revision are all known. */
  #completeAfterRevision = Number.POSITIVE_INFINITY;

  /** Clears the log after a full read, which does not list earlier removals. */
  reset(revision: number): void {
    this.#removals = [];
    this.#completeAfterRevision = revision;
  }

  /** Records a removal. */
  record(removed: RemovedKey): void {
    const all = [...this.#removals, removed];
    const dropped = all.at(-MAX_REMOVALS - 1);
    this.#removals = all.slice(-MAX_REMOVALS);
    if (dropped !== undefined) this.#completeAfterRevision = dropped.revision;
  }

  /** Returns the removals after a revision, or `undefined` if some of them are not known. */
  listAfter(revision: number): readonly RemovedKey[] | undefined {
    if (revision < this.#completeAfterRevision) return undefined;
    return this.#removals.filter((removed) => removed.revision > revision);
  }
}
