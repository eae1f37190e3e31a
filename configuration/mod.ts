/**
 * Accepts each change of the configuration once, applies it at every instance,
 * and never goes back to an older state.
 *
 * @example
 * ```ts
 * import { ConfigurationState } from "./configuration/mod.ts";
 * new ConfigurationState().sequence; // 0
 * ```
 * @module
 */
export * from "./accept_changes.ts";
export * from "./configuration_controller.ts";
export * from "./configuration_log.ts";
export * from "./configuration_state.ts";
