/**
 * Backend servers that register themselves: which ones are registered, draining or
 * cold, and which failure domains are evacuated.
 *
 * @example
 * ```ts
 * import { ServerRegistry } from "./servers/mod.ts";
 * const registry = new ServerRegistry();
 * registry.replaceAll(entries, nowMs, 0);
 * registry.listUsable("notes", region);
 * ```
 * @module
 */
export * from "./server_registry.ts";
