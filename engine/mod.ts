/**
 * The port to backend servers: model engines and plain services.
 *
 * @example
 * ```ts
 * import { END_OF_STREAM } from "./engine/mod.ts";
 * END_OF_STREAM; // "[DONE]"
 * ```
 * @module
 */
export * from "./backend_client.ts";
export * from "./placement_status.ts";
