/**
 * Metrics of a daemon; sent with hot-shots if the settings name a StatsD server.
 *
 * @example
 * ```ts
 * import { NO_METRICS } from "./metrics/mod.ts";
 * NO_METRICS.count("request.count");
 * ```
 * @module
 */
export * from "./metrics.ts";
