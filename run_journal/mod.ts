/**
 * The run journal, which lets non-idempotent work run at most once, whatever
 * fails. A run is recorded in the store before its call is dispatched.
 *
 * @example
 * ```ts
 * import { decideBegin } from "./run_journal/mod.ts";
 * decideBegin(undefined, run, 0).kind; // "claim"
 * ```
 * @module
 */
export * from "./key_journal.ts";
export * from "./run_journal.ts";
export * from "./run_record.ts";
export * from "./shard_writer.ts";
export * from "./sharded_journal.ts";
