/**
 * Counts what teams use, for charging. Usage is counted only once, whatever fails.
 *
 * @example
 * ```ts
 * import { UsageMeter } from "./usage/mod.ts";
 * new UsageMeter().readTotals(); // {}
 * ```
 * @module
 */
export * from "./usage_meter.ts";
export * from "./fold_usage.ts";
export * from "./usage_flusher.ts";
