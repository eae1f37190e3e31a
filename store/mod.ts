/**
 * The port to the platform's key-value service, and the only safe way to
 * change a document in it.
 *
 * @example
 * ```ts
 * import { writeChange } from "./store/mod.ts";
 * await writeChange(store, { key, changeId, update: (old) => ({ count: (old?.count ?? 0) + 1 }) });
 * ```
 * @module
 */
export * from "./store.ts";
export * from "./store_position.ts";
export * from "./revisioned_store.ts";
export * from "./write_change.ts";
export * from "./guarded_store.ts";
export * from "./store_budget.ts";
export * from "./circuit.ts";
