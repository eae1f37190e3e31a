/**
 * Decides when a failed attempt may be retried.
 *
 * @example
 * ```ts
 * import { RetryBudget } from "./retry/mod.ts";
 * new RetryBudget().admit(); // true
 * ```
 * @module
 */
export * from "./decide_retry.ts";
export * from "./retry_budget.ts";
