/**
 * Small specifications of the core protocols. They call the decision functions of
 * the production code; the model checker explores all their states.
 *
 * @example
 * ```ts
 * import { explore, JOURNAL_SPEC } from "./spec/mod.ts";
 * explore(JOURNAL_SPEC).violation; // undefined
 * ```
 * @module
 */
export * from "./configuration_spec.ts";
export * from "./explore.ts";
export * from "./followed_writes.ts";
export * from "./journal_spec.ts";
export * from "./key_spec.ts";
export * from "./lease_spec.ts";
export * from "./restored_store_spec.ts";
export * from "./server_spec.ts";
export * from "./specification.ts";
export * from "./state_spec.ts";
