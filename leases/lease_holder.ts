import type { Clock, Random } from "../clock/mod.ts";
import { createToken } from "../clock/mod.ts";
import type { Store } from "../store/mod.ts";
import { type HeldLease, isLeaseSafe, type LeaseTerms } from "./lease_state.ts";

/** What a holder is created from. */
export interface LeaseHolderParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  /** Key of the lease. */
  readonly key: string;
  /** Who wants it. */
  readonly owner: string;
  readonly terms: LeaseTerms;
}

interface LeaseDocument {
  readonly owner: string;
  /** Unique for each try, to find the own write after a lost answer. */
  readonly nonce: string;
}

/** Default lifetime: 10 s, of which the last 3 s are not relied on. */
export const LEASE_TERMS: LeaseTerms = { ttlMs: 10_000, marginMs: 3_000 };

/** Tries to hold one lease in the store. */
export class LeaseHolder {
  readonly #parts: LeaseHolderParts;
  #held: HeldLease | undefined;

  /** @param parts Store, clock, key and terms. */
  constructor(parts: LeaseHolderParts) {
    this.#parts = parts;
  }

  /** What is held, as far as is known. */
  get held(): HeldLease | undefined {
    return this.#held;
  }

  /**
   * Whether an act that takes so long may still rely on the lease. The store counts
   * its time also while this machine is suspended: a holder that does not would wake
   * and give orders beside the next one.
   */
  isSafe(actMs: number): boolean {
    const nowMs = this.#parts.clock.elapsedMs();
    return isLeaseSafe(this.#held, this.#parts.terms, { nowMs, actMs });
  }

  /** Renews the lease, or tries to get it. Called at an interval below a third of its lifetime. */
  async renew(): Promise<void> {
    if (this.#held === undefined) return await this.#acquire();
    const { clock, store } = this.#parts;
    const askedMs = clock.elapsedMs();
    const renewed = await store.renewLease(this.#held.leaseId, {
      callClass: "lease",
    });
    if (renewed.isErr()) return this.#forgetIfLapsed();
    this.#held = renewed.value
      ? { ...this.#held, renewedMs: askedMs }
      : undefined;
  }

  /** Gives the lease back. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (held !== undefined) {
      await this.#parts.store.revokeLease(held.leaseId, { callClass: "lease" });
    }
  }

  async #acquire(): Promise<void> {
    const { clock, key, owner, random, store, terms } = this.#parts;
    const options = { callClass: "lease" } as const;
    const present = await store.read(key, options);
    if (present.isErr() || present.value !== undefined) return;
    const askedMs = clock.elapsedMs();
    const granted = await store.grantLease(terms.ttlMs, options);
    if (granted.isErr()) return;
    const leaseId = granted.value;
    const nonce = createToken(random);
    const value = JSON.stringify({ owner, nonce } satisfies LeaseDocument);
    const swapped = await store.swap({
      key,
      expectedRevision: 0,
      value,
      leaseId,
    }, options);
    if (swapped.isOk() && swapped.value.kind === "written") {
      this.#held = {
        token: swapped.value.revision,
        leaseId,
        renewedMs: askedMs,
      };
      return;
    }
    if (swapped.isOk() || swapped.error.kind !== "unknown") return;
    const found = await store.read(key, options);
    if (found.isErr() || found.value === undefined) return;
    const document = JSON.parse(found.value.value) as LeaseDocument;
    if (document.nonce !== nonce) return;
    this.#held = { token: found.value.revision, leaseId, renewedMs: askedMs };
  }

  #forgetIfLapsed(): void {
    const { clock, terms } = this.#parts;
    if (
      this.#held !== undefined &&
      clock.elapsedMs() > this.#held.renewedMs + terms.ttlMs
    ) {
      this.#held = undefined;
    }
  }
}
