import type { Clock } from "../clock/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import {
  RELAY_RANK_DELAY_MS,
  type RolloutRecord,
  type RolloutStatus,
} from "../rollouts/mod.ts";
import type { RevisionedStore, StoreEntry } from "../store/mod.ts";

/** Time until a write that failed, or that the follower has not seen, is tried again, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** What the entries of rollouts are created from. */
export interface RolloutEntriesParts {
  readonly store: Pick<RevisionedStore, "swap">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the key and the value of a record's entry. */
  readonly encodeRecord: (record: RolloutRecord) => EncodedEntry;
  /** Returns the key and the value of a status' entry. */
  readonly encodeStatus: (status: RolloutStatus) => EncodedEntry;
  /** Returns the revision of a service's order; 0: it has none. */
  readonly readOrderRevision: (service: string) => number;
  /** Returns the entry of a key as last seen in the store. */
  readonly readEntry: (key: string) => StoreEntry | undefined;
  /** Cancels all pending writes. */
  readonly signal: AbortSignal;
}

/** A key with the value that it should have. Equal values are equal texts. */
export type EncodedEntry = Pick<StoreEntry, "key" | "value">;

/** What the entries of rollouts should be. */
export interface WantedRollouts {
  /** Records that are due. */
  readonly records: readonly RolloutRecord[];
  /** Statuses of the records that the store has. */
  readonly statuses: readonly RolloutStatus[];
  /** Rank of this relay: others wait for those before them. */
  readonly rank: number;
}

type EntryKind = "record" | "status";

/** A write whose effect has not been seen yet. */
interface PendingWrite {
  /** Revision of the entry when it was written. */
  readonly fromRevision: number;
  /** Until when it is awaited, in milliseconds. */
  readonly untilMs: number;
  readonly hasFailed: boolean;
}

/**
 * Writes records and statuses of rollouts. The store's entries decide what is written, not
 * what this instance wrote before: a write may be lost, may run late, or may be done by
 * another relay, which may die between record and status. Each write expects the revision
 * that was last seen, so that a late one fails if anything was written since.
 */
export class RolloutEntries {
  readonly #parts: RolloutEntriesParts;
  readonly #pending = new Map<string, PendingWrite>();
  /** Since when statuses have differed from the store's, in milliseconds, by key and value. */
  readonly #differsSinceMs = new Map<string, number>();

  /** @param parts Store, clock and forms of the entries. */
  constructor(parts: RolloutEntriesParts) {
    this.#parts = parts;
  }

  /** Starts the writes that are due, and resolves when they have ended. */
  async update({ rank, records, statuses }: WantedRollouts): Promise<void> {
    const { clock, encodeRecord, encodeStatus, readOrderRevision } =
      this.#parts;
    const nowMs = clock.nowMs();
    // A status follows from the record in the store: while that one is about to change, it waits.
    const changing = new Set(records.map(({ service }) => service));
    const differing = statuses
      .filter(({ service }) => !changing.has(service))
      .filter((status) =>
        // An equal status of an earlier order does not tell the operator how this one ended.
        this.#differs(encodeStatus(status), readOrderRevision(status.service))
      ).map(encodeStatus);
    const keys = new Set(differing.map(toText));
    [...this.#differsSinceMs.keys()].filter((text) => !keys.has(text))
      .forEach((text) => this.#differsSinceMs.delete(text));
    const due = differing.filter((entry) => {
      const text = toText(entry);
      const sinceMs = this.#differsSinceMs.get(text) ?? nowMs;
      this.#differsSinceMs.set(text, sinceMs);
      return nowMs - sinceMs >= rank * RELAY_RANK_DELAY_MS;
    });
    await Promise.all([
      ...records.map(encodeRecord).filter((entry) => this.#differs(entry))
        .map((entry) => this.#write("record", entry)),
      ...due.map((entry) => this.#write("status", entry)),
    ]);
  }

  /** Returns whether the store has another value, or wrote it before a revision. */
  #differs({ key, value }: EncodedEntry, minRevision = 0): boolean {
    const entry = this.#parts.readEntry(key);
    return entry?.value !== value || entry.revision < minRevision;
  }

  async #write(kind: EntryKind, { key, value }: EncodedEntry): Promise<void> {
    const { clock, logger, metrics, readEntry, signal, store } = this.#parts;
    const expectedRevision = readEntry(key)?.revision ?? 0;
    const before = this.#pending.get(key);
    const isAwaited = before !== undefined &&
      before.fromRevision === expectedRevision &&
      clock.nowMs() < before.untilMs;
    if (isAwaited || signal.aborted) return;
    this.#setPending(key, expectedRevision, Number.POSITIVE_INFINITY);
    const swapped = await store.swap(
      { key, expectedRevision, value },
      { callClass: "lease", signal },
    );
    const result = swapped.match(
      ({ kind }) => kind === "written" ? "written" : "conflict",
      () => "failed",
    );
    metrics.count("rollout.writes", 1, { entry: kind, result });
    this.#setPending(
      key,
      expectedRevision,
      clock.nowMs() + RETRY_DELAY_MS,
      swapped.isErr(),
    );
    if (swapped.isOk()) {
      logger.info("rollout entry written", { key, value, result });
    } else if (before?.hasFailed !== true) {
      // Once for an outage: the write is tried again every second.
      const reason = swapped.error.message;
      logger.warn("rollout entry not written", { key, value, reason });
    }
  }

  #setPending(
    key: string,
    fromRevision: number,
    untilMs: number,
    hasFailed = this.#pending.get(key)?.hasFailed ?? false,
  ): void {
    this.#pending.set(key, { fromRevision, untilMs, hasFailed });
  }
}

function toText({ key, value }: EncodedEntry): string {
  return `${key} ${value}`;
}
