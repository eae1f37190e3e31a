/**
 * Who may start work now: limits of teams, the queue, and the part of the
 * capacity that batch work may take.
 *
 * @example
 * ```ts
 * import { computeThreshold } from "./admission/mod.ts";
 * computeThreshold({ servers: 16, arrivalsPerSecond: 4, servedPerSecond: 1 }, 50);
 * ```
 * @module
 */
export * from "./admission_queue.ts";
export * from "./priority.ts";
export * from "./reservation.ts";
export * from "./team_limits.ts";
