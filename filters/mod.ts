/**
 * The chain of filters that handles a request, from its authentication to its answer.
 *
 * @example
 * ```ts
 * import { composeFilters } from "./filters/mod.ts";
 * const chain = composeFilters([identify, limit, parse, route]);
 * ```
 * @module
 */
export * from "./apply_limits.ts";
export * from "./check_residency.ts";
export * from "./exchange.ts";
export * from "./forward_call.ts";
export * from "./identify_caller.ts";
export * from "./journal_run.ts";
export * from "./list_entries.ts";
export * from "./parse_call.ts";
export * from "./relay_stream.ts";
export * from "./route_call.ts";
export * from "./serve_locally.ts";
export * from "./to_refusal.ts";
