import {
  type Clock,
  type Random,
  scheduleEvery,
  waitFor,
} from "../clock/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { RevisionedStore } from "../store/mod.ts";

/**
 * How long the entry of an instance outlives it, in milliseconds. Entries serve
 * first contact only: one of an instance that is gone costs a few greetings.
 */
const LEASE_TTL_MS = 30_000;
/** Pause between renewals, in milliseconds: a third of the lease. */
const RENEW_INTERVAL_MS = 10_000;

/**
 * Longest wait before an entry that the store has lost is written again, in milliseconds:
 * all instances hear of it at once, and the store takes 400 writes a second.
 */
const LONGEST_WAIT_MS = 500;

/** What an entry is kept from. */
export interface InstanceEntryParts {
  readonly store: RevisionedStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly key: string;
  readonly value: string;
  /** Revision at which the entry was last seen in the store; 0: it is not there. */
  readonly readRevision: () => number;
}

/**
 * Keeps this instance's entry in the store, so that others find it. An entry
 * that is gone, by whatever way, is written again.
 */
export class InstanceEntry {
  readonly #parts: InstanceEntryParts;
  #leaseId: string | undefined;
  #ended: AbortSignal | undefined;

  /** @param parts Store and what to write. */
  constructor(parts: InstanceEntryParts) {
    this.#parts = parts;
  }

  /** Writes and renews the entry until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#ended = signal;
    void this.#keep(signal);
    scheduleEvery(
      this.#parts.clock,
      RENEW_INTERVAL_MS,
      () => this.#keep(signal),
      signal,
    );
  }

  /** Writes the entry once more if the store has lost it, without waiting for the next renewal. */
  writeAgain(): void {
    const signal = this.#ended;
    if (signal === undefined || signal.aborted) return;
    const { clock, random } = this.#parts;
    void waitFor(clock, LONGEST_WAIT_MS * random.nextFloat(), signal)
      .then(() => this.#keep(signal));
  }

  /** Deletes the entry. */
  async remove(): Promise<void> {
    if (this.#leaseId === undefined) return;
    const ended = await this.#parts.store.revokeLease(this.#leaseId);
    if (ended.isErr()) {
      this.#parts.logger.warn("own entry left to lapse", {
        reason: ended.error.message,
      });
    }
  }

  async #keep(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const options = { callClass: "lease", signal } as const;
    const { logger, store } = this.#parts;
    if (this.#leaseId !== undefined) {
      const renewed = await store.renewLease(this.#leaseId, options);
      // An answer that is lost says nothing of the lease: try again in time.
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
