/**
 * Chooses the instances that callers connect to, and counts and logs the choices.
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
export * from "./select_by_capacity.ts";
