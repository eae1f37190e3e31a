/**
 * Everything outside of a daemon as one type: what an adapter must bring, and
 * what filters and controllers are given.
 *
 * @example
 * ```ts
 * import type { GatewayParts } from "./ports/mod.ts";
 * type Timed = Pick<GatewayParts, "clock">;
 * ```
 * @module
 */
export * from "./gateway_parts.ts";
