/**
 * Who is live, leaving or dead, which region has room, and which configuration
 * is in force where, from heartbeats of at most 2 KB a second.
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
