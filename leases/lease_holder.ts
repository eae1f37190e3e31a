import type { Clock, Random } from "../clock/mod.ts";
import { createToken } from "../clock/mod.ts";
import type { Store } from "../store/mod.ts";
import { type HeldLease, isLeaseSafe, type LeaseTerms } from "./lease_state.ts";

/** What a lease holder is created from. */
export interface LeaseHolderParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  /** Key of the lease. */
  readonly key: string;
  /** Name of this holder, stored with the lease. */
  readonly owner: string;
  readonly terms: LeaseTerms;
}

interface LeaseDocument {
  readonly owner: string;
  /** Unique for each attempt: identifies this holder's write after its answer was lost. */
  readonly nonce: string;
}

/** Default terms: a lifetime of 10 s, of which the holder does not rely on the last 3 s. */
export const LEASE_TERMS: LeaseTerms = { ttlMs: 10_000, marginMs: 3_000 };

/** Acquires and renews one lease in the store. */
export class LeaseHolder {
  readonly #parts: LeaseHolderParts;
  #held: HeldLease | undefined;

  /** @param parts Store, clock, key and terms. */
  constructor(parts: LeaseHolderParts) {
    this.#parts = parts;
  }

  /** The lease that is held, as far as this holder knows. */
  get held(): HeldLease | undefined {
    return this.#held;
  }

  /**
   * Returns whether an operation may still rely on the lease. In the store, the
   * lifetime also runs while this machine is suspended. A holder that did not count
   * that time would give orders after it resumes, at the same time as the next holder.
   *
   * @param actMs How long the operation may take, in milliseconds.
   */
  isSafe(actMs: number): boolean {
    const nowMs = this.#parts.clock.elapsedMs();
    return isLeaseSafe(this.#held, this.#parts.terms, { nowMs, actMs });
  }

  /**
   * Renews the lease, or tries to acquire it. Must be called at an interval shorter than
   * a third of its lifetime.
   */
  async renew(): Promise<void> {
    if (this.#held === undefined) return await this.#acquire();
    const { clock, store } = this.#parts;
    const requestedMs = clock.elapsedMs();
    const renewed = await store.renewLease(this.#held.leaseId, {
      callClass: "lease",
    });
    if (renewed.isErr()) return this.#forgetIfExpired();
    this.#held = renewed.value
      ? { ...this.#held, renewedMs: requestedMs }
      : undefined;
  }

  /** Revokes the lease. */
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
    const existing = await store.read(key, options);
    if (existing.isErr() || existing.value !== undefined) return;
    const requestedMs = clock.elapsedMs();
    const granted = await store.grantLease(terms.ttlMs, options);
    if (granted.isErr()) return;
    const leaseId = granted.value;
    const nonce = createToken(random);
    const value = JSON.stringify({ owner, nonce } satisfies LeaseDocument);
    const written = await store.swap({
      key,
      expectedRevision: 0,
      value,
      leaseId,
    }, options);
    if (written.isOk() && written.value.kind === "written") {
      this.#held = {
        token: written.value.revision,
        leaseId,
        renewedMs: requestedMs,
      };
      return;
    }
    if (written.isOk() || written.error.kind !== "unknown") return;
    const current = await store.read(key, options);
    if (current.isErr() || current.value === undefined) return;
    const document = JSON.parse(current.value.value) as LeaseDocument;
    if (document.nonce !== nonce) return;
    this.#held = {
      token: current.value.revision,
      leaseId,
      renewedMs: requestedMs,
    };
  }

  #forgetIfExpired(): void {
    const { clock, terms } = this.#parts;
    if (
      this.#held !== undefined &&
      clock.elapsedMs() > this.#held.renewedMs + terms.ttlMs
    ) {
      this.#held = undefined;
    }
  }
}
