/**
 * What an instance needs from outside, as one type: what an adapter must provide,
 * and what filters and controllers are given.
 *
 * @example
 * ```ts
 * import type { GatewayParts } from "./ports/mod.ts";
 * type Timed = Pick<GatewayParts, "clock">;
 * ```
 * @module
 */
export * from "./gateway_parts.ts";
