/**
 * Which instances callers are told to connect to.
 *
 * @example
 * ```ts
 * import { pickEntries } from "./directory/mod.ts";
 * pickEntries(fleet, { region, readHomes: () => table.readHomes(host) }, nowMs);
 * ```
 * @module
 */
export * from "./pick_entries.ts";
