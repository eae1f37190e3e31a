/**
 * Leases with fencing tokens, and the decision whether an order may rely on them.
 *
 * @example
 * ```ts
 * import { decideOrder } from "./leases/mod.ts";
 * decideOrder({ checksFencing: false, hasOrderInFlight: false }, false).kind; // "wait"
 * ```
 * @module
 */
export * from "./lease_holder.ts";
export * from "./lease_state.ts";
