/**
 * Batches of calls. An accepted batch is durable, and each of its items gets
 * exactly one answer.
 *
 * @example
 * ```ts
 * import { splitPacks } from "./batches/mod.ts";
 * splitPacks(items).length;
 * ```
 * @module
 */
export * from "./batch_document.ts";
export * from "./batch_store.ts";
export * from "./merge_answers.ts";
export * from "./run_pack.ts";
export * from "./split_packs.ts";
