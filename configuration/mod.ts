/**
 * How a change is accepted once, comes into force at every daemon, and never
 * goes back.
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
