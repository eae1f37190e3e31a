/**
 * Numbered result codes and the failures that carry them. Every refusal says
 * whether the work ran, so that a caller knows if it may ask again.
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
