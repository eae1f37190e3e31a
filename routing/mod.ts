/**
 * Chooses the region and the engine that serve a call, from what one instance knows.
 *
 * @example
 * ```ts
 * import { decideRegion } from "./routing/mod.ts";
 * decideRegion({ homeMs: 100, coldMs: 0, aimMs: 770, wasAway: false, options: [] }); // home
 * ```
 * @module
 */
export * from "./credits.ts";
export * from "./decide_region.ts";
export * from "./engine_health.ts";
export * from "./engine_model.ts";
export * from "./pick_engine.ts";
export * from "./pick_subset.ts";
export * from "./prefix_hints.ts";
export * from "./service_pool.ts";
