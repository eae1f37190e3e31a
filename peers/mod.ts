/**
 * The ports to other daemons and to the platform's instance list and directory.
 *
 * @example
 * ```ts
 * import type { PeerTransport } from "./peers/mod.ts";
 * ```
 * @module
 */
export * from "./peer_transport.ts";
export * from "./platform.ts";
