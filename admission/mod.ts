/**
 * Admission control: limits of teams, the queue of waiting requests, and the
 * share of the capacity that batch work may use.
 *
 * @example
 * ```ts
 * import { BatchShare } from "./admission/mod.ts";
 * new BatchShare().share; // 0.6
 * ```
 * @module
 */
export * from "./admission_queue.ts";
export * from "./batch_share.ts";
export * from "./fleet_limits.ts";
export * from "./priority.ts";
export * from "./team_limits.ts";
