/**
 * Tracks which instances are live, leaving or dead, how much free capacity each
 * region has, and which configuration is in force where, by heartbeats of at most
 * 2 KB per second.
 *
 * @example
 * ```ts
 * import { rankNames } from "./membership/mod.ts";
 * rankNames("key", ["a", "b"]).length; // 2
 * ```
 * @module
 */
export * from "./encode_heartbeat.ts";
export * from "./member.ts";
export * from "./membership.ts";
export * from "./rank.ts";
export * from "./region_digests.ts";
