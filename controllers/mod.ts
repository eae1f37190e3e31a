/**
 * Controllers of an instance: each one observes, decides and acts at an interval.
 *
 * @example
 * ```ts
 * import { createSendHeartbeats } from "./controllers/mod.ts";
 * ```
 * @module
 */
export * from "./observe_engines.ts";
export * from "./publish_entries.ts";
export * from "./send_heartbeats.ts";
export * from "./limit_borrower.ts";
export * from "./watch_instances.ts";
