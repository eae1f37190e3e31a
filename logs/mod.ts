/**
 * Structured logs, written with loglevel.
 *
 * @example
 * ```ts
 * import { createSilentLogger } from "./logs/mod.ts";
 * createSilentLogger().info("not written");
 * ```
 * @module
 */
export * from "./line_rate_limiter.ts";
export * from "./logger.ts";
export * from "./explain_call.ts";
