/**
 * The metrics of a daemon; sent by hot-shots where settings name a server.
 *
 * @example
 * ```ts
 * import { NO_METRICS } from "./metrics/mod.ts";
 * NO_METRICS.count("request.count");
 * ```
 * @module
 */
export * from "./metrics.ts";
