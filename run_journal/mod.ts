/**
 * The run journal: non-idempotent work runs at most once, whatever fails.
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
