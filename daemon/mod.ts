/**
 * Gateway of one instance, composed of filters, controllers and ports.
 *
 * @example
 * ```ts
 * import { Gateway } from "./daemon/mod.ts";
 * const gateway = new Gateway(parts);
 * gateway.start(signal);
 * ```
 * @module
 */
export * from "./gateway.ts";
export * from "../ports/mod.ts";
export * from "./http_gateway.ts";
export * from "./catalog_state.ts";
export * from "./peer_catch_up.ts";
