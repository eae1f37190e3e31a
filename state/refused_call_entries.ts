import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import type { CallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { type CrashReport, QUARANTINE_MS } from "../quarantine/mod.ts";
import type { RevisionedStore } from "../store/mod.ts";

/**
 * Maximum random delay before an entry is written, in milliseconds: all instances that
 * observed a crash write the same entry, and the later ones find it there.
 */
const MAX_WRITE_DELAY_MS = 400;
/** Delay after a failed write, in milliseconds. */
const RETRY_DELAY_MS = 2_000;
/** Maximum number of attempts to write an entry. */
const MAX_ATTEMPTS = 10;

/** What the entries of refused calls are created from. */
export interface RefusedCallEntriesParts {
  readonly store: RevisionedStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Returns the key of a call's entry. */
  readonly toKey: (call: CallFingerprint) => string;
  /** Returns the revision at which a key was last seen in the store; 0: it is not there. */
  readonly readRevision: (key: string) => number;
  /** Cancels all pending writes. */
  readonly signal: AbortSignal;
}

/** Value of a refused call's entry, stored as JSON. */
export interface RefusedCallValue {
  readonly servers: readonly string[];
  /** When the last of these servers crashed, in milliseconds since the epoch. */
  readonly endedMs: number;
  /** Number of trials that crashed servers again. Default: 0. */
  readonly failedTrials?: number | undefined;
}

/**
 * Stores refused calls for as long as they are refused. Instances report them to each
 * other, but all instances may fail at once, and those that start then know of none.
 */
export class RefusedCallEntries {
  readonly #parts: RefusedCallEntriesParts;

  /** @param parts Store, clock and keys. */
  constructor(parts: RefusedCallEntriesParts) {
    this.#parts = parts;
  }

  /**
   * Writes the entry of a call, unless it is there already. A failed trial is added to it.
   *
   * @param report The call and the servers that crashed during it.
   */
  async store(report: CrashReport): Promise<void> {
    const { clock, logger, random, signal } = this.#parts;
    const endedMs = clock.nowMs() - report.ageMs;
    await waitFor(clock, MAX_WRITE_DELAY_MS * random.nextFloat(), signal);
    for (
      let attempts = 0;
      attempts < MAX_ATTEMPTS && !signal.aborted;
      attempts++
    ) {
      const failure = await this.#write(report, endedMs);
      if (failure === undefined) return;
      logger.warn("refused call not stored", {
        content: report.call,
        reason: failure,
      });
      await waitFor(clock, RETRY_DELAY_MS, signal);
    }
  }

  /** Removes the entry of a call that is no longer refused. */
  async remove(call: CallFingerprint): Promise<void> {
    const { logger, readRevision, signal, store, toKey } = this.#parts;
    const key = toKey(call);
    const expectedRevision = readRevision(key);
    if (expectedRevision === 0) return;
    const removed = await store.swap(
      { key, expectedRevision, value: undefined },
      { callClass: "lease", signal },
    );
    if (removed.isOk()) return;
    logger.warn("refused call not removed", {
      content: call,
      reason: removed.error.message,
    });
  }

  /** @returns Message of the failure; `undefined`: the entry is written or not needed. */
  async #write(
    { call, failedTrials = 0, servers }: CrashReport,
    endedMs: number,
  ): Promise<string | undefined> {
    const { clock, readRevision, signal, store, toKey } = this.#parts;
    const key = toKey(call);
    const leftMs = Math.ceil(endedMs + QUARANTINE_MS - clock.nowMs());
    const expectedRevision = readRevision(key);
    const isStored = expectedRevision > 0 && failedTrials === 0;
    if (isStored || leftMs <= 0) return undefined;
    const options = { callClass: "lease", signal } as const;
    const leaseId = await store.grantLease(leftMs, options);
    if (leaseId.isErr()) return leaseId.error.message;
    const value: RefusedCallValue = {
      servers,
      endedMs: Math.round(endedMs),
      ...(failedTrials > 0 ? { failedTrials } : {}),
    };
    const written = await store.swap({
      key,
      expectedRevision,
      value: JSON.stringify(value),
      leaseId: leaseId.value,
    }, options);
    return written.isErr() ? written.error.message : undefined;
  }
}
