/**
 * Numbered result codes and the failures that have them. Every refusal states
 * whether the work ran, so that a caller knows whether it may retry.
 *
 * @example
 * ```ts
 * import { createFailure, readRow } from "./results/mod.ts";
 * readRow(createFailure("NO_ENGINE", "No engine is left")).ran; // "not-run"
 * ```
 * @module
 */
export * from "./failure.ts";
export * from "./result_code.ts";
