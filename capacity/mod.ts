/**
 * What an instance can carry: its limits by its settings, the capacity that it reports
 * to others, and choices in proportion to capacity.
 *
 * @example
 * ```ts
 * import { CapacityMonitor } from "./capacity/mod.ts";
 * const monitor = new CapacityMonitor({ cores: 1.35, linkMbps: 140 });
 * monitor.record({ nowMs, loopDelayMs, linkBytes });
 * monitor.capacity; // { ratedCores: 1.35, currentCores: 1.35 }
 * ```
 * @module
 */
export * from "./instance_capacity.ts";
export * from "./capacity_monitor.ts";
export * from "./carried_work.ts";
export * from "./carried_call.ts";
export * from "./estimate_head_memory.ts";
export * from "./estimate_json_memory.ts";
export * from "./pick_weighted.ts";
