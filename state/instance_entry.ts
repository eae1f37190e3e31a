import {
  type Clock,
  type Random,
  scheduleEvery,
  waitFor,
} from "../clock/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { RevisionedStore } from "../store/mod.ts";

/**
 * How long the entry of an instance outlives it, in milliseconds. Entries only serve
 * first contact: the entry of a dead instance costs a few messages that get no answer.
 */
const LEASE_TTL_MS = 30_000;
/** Interval between renewals, in milliseconds: a third of the lease's lifetime. */
const RENEW_INTERVAL_MS = 10_000;

/**
 * Maximum random delay before an entry that the store lost is written again, in
 * milliseconds: all instances notice the loss at once, and the store accepts 400 writes
 * a second.
 */
const MAX_REWRITE_DELAY_MS = 500;

/** What an instance entry is created from. */
export interface InstanceEntryParts {
  readonly store: RevisionedStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly key: string;
  readonly value: string;
  /** Returns the revision at which the entry was last seen in the store; 0: it is not there. */
  readonly readRevision: () => number;
}

/**
 * Keeps this instance's entry in the store, so that other instances find it. An entry
 * that is missing, for whatever reason, is written again.
 */
export class InstanceEntry {
  readonly #parts: InstanceEntryParts;
  #leaseId: string | undefined;
  #signal: AbortSignal | undefined;

  /** @param parts Store, and the key and value to write. */
  constructor(parts: InstanceEntryParts) {
    this.#parts = parts;
  }

  /** Writes and renews the entry until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#signal = signal;
    void this.#renewOrWrite(signal);
    scheduleEvery(
      this.#parts.clock,
      RENEW_INTERVAL_MS,
      () => this.#renewOrWrite(signal),
      signal,
    );
  }

  /** Writes the entry again if the store has lost it, without waiting for the next renewal. */
  rewriteIfLost(): void {
    const signal = this.#signal;
    if (signal === undefined || signal.aborted) return;
    const { clock, random } = this.#parts;
    void waitFor(clock, MAX_REWRITE_DELAY_MS * random.nextFloat(), signal)
      .then(() => this.#renewOrWrite(signal));
  }

  /** Deletes the entry by revoking its lease. */
  async remove(): Promise<void> {
    if (this.#leaseId === undefined) return;
    const revoked = await this.#parts.store.revokeLease(this.#leaseId);
    if (revoked.isErr()) {
      this.#parts.logger.warn("own entry not deleted, left to expire", {
        reason: revoked.error.message,
      });
    }
  }

  async #renewOrWrite(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const options = { callClass: "lease", signal } as const;
    const { logger, store } = this.#parts;
    if (this.#leaseId !== undefined) {
      const renewed = await store.renewLease(this.#leaseId, options);
      // A lost answer does not show whether the lease still exists: the next renewal retries.
      if (renewed.isErr()) return;
      if (!renewed.value) this.#leaseId = undefined;
      else if (this.#parts.readRevision() > 0) return;
    }
    if (this.#leaseId === undefined) {
      const granted = await store.grantLease(LEASE_TTL_MS, options);
      if (granted.isErr()) return;
      this.#leaseId = granted.value;
    }
    const written = await store.swap({
      key: this.#parts.key,
      expectedRevision: this.#parts.readRevision(),
      value: this.#parts.value,
      leaseId: this.#leaseId,
    }, options);
    if (written.isErr()) {
      logger.warn("own entry not written", { reason: written.error.message });
    } else logger.info("own entry written", { outcome: written.value.kind });
  }
}
