/**
 * Which instances callers are told to connect to, and the record of it.
 *
 * @example
 * ```ts
 * import { pickEntries } from "./directory/mod.ts";
 * pickEntries(fleet, { region, findHomes: () => forwarder.findHomes(host) }, nowMs);
 * ```
 * @module
 */
export * from "./answer_recorder.ts";
export * from "./pick_entries.ts";
