/** A lease as known to its holder. */
export interface HeldLease {
  /** Fencing token: the store's revision at which the lease's key was created. */
  readonly token: number;
  readonly leaseId: string;
  /** When the last successful renewal was requested, on the holder's clock of elapsed time. */
  readonly renewedMs: number;
}

/** Lifetime and safety margin of a lease. */
export interface LeaseTerms {
  readonly ttlMs: number;
  /**
   * Last part of the lifetime, in which the holder does not rely on the lease, to allow
   * for clock differences and pauses.
   */
  readonly marginMs: number;
}

/**
 * Returns whether a holder may still rely on its lease for an operation that takes
 * effect within a given time. The lifetime counts from when the renewal was requested,
 * so that the holder stops before the store grants the lease to another one.
 *
 * @param lease The lease that is held; `undefined`: none.
 * @param terms Lifetime and margin.
 * @param at Current time, and how long the operation may take, in milliseconds.
 */
export function isLeaseSafe(
  lease: HeldLease | undefined,
  terms: LeaseTerms,
  at: { readonly nowMs: number; readonly actMs: number },
): boolean {
  if (lease === undefined) return false;
  return at.nowMs + at.actMs < lease.renewedMs + terms.ttlMs - terms.marginMs;
}

/** Whether an order may be sent now, or why it has to wait. */
export type OrderDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait"; readonly reason: string };

/**
 * Decides whether an order may be sent to an engine, one at a time. An engine that
 * checks fencing tokens refuses late orders itself. For one that does not, an order
 * is sent only during the safe part of the lease.
 *
 * @param engine Whether it checks fencing tokens, and whether an order is in flight.
 * @param isSafe Whether the lease is safe for as long as an order takes.
 */
export function decideOrder(
  engine: {
    readonly checksFencing: boolean;
    readonly hasOrderInFlight: boolean;
  },
  isSafe: boolean,
): OrderDecision {
  if (engine.hasOrderInFlight) {
    return { kind: "wait", reason: "an order is in flight" };
  }
  if (engine.checksFencing || isSafe) return { kind: "send" };
  return {
    kind: "wait",
    reason: "the lease is not safe for an engine that ignores tokens",
  };
}
