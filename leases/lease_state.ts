/** A lease as its holder knows it. */
export interface HeldLease {
  /** Fencing token: the store's revision at the creation of the lease's key. */
  readonly token: number;
  readonly leaseId: string;
  /** When the last renewal that succeeded was asked for, on the holder's clock of elapsed time. */
  readonly renewedMs: number;
}

/** Lifetime of a lease. */
export interface LeaseTerms {
  readonly ttlMs: number;
  /** Part at the end in which the holder does not rely on it: clocks and pauses. */
  readonly marginMs: number;
}

/**
 * Whether a holder may still rely on its lease, for an act that takes effect
 * within a given time. Counted from when the renewal was asked for, so that the
 * holder stops before the store lets anyone else in.
 *
 * @param lease What is held; `undefined` for nothing.
 * @param terms Lifetime and margin.
 * @param at Time now, and how long the act may take.
 */
export function isLeaseSafe(
  lease: HeldLease | undefined,
  terms: LeaseTerms,
  at: { readonly nowMs: number; readonly actMs: number },
): boolean {
  if (lease === undefined) return false;
  return at.nowMs + at.actMs < lease.renewedMs + terms.ttlMs - terms.marginMs;
}

/** Why an order may not go out. */
export type OrderDecision =
  | { readonly kind: "send" }
  | { readonly kind: "wait"; readonly reason: string };

/**
 * Decides whether an order to an engine may go out. An engine that checks
 * fencing tokens refuses late orders itself; for one that does not, the order
 * goes out only inside the safe part of the lease, and one at a time.
 *
 * @param engine Whether it checks, and whether an order is in flight.
 * @param isSafe Whether the lease holds for as long as an order takes.
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
