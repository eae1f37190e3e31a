/**
 * Reports that instances exchange several times per second: that they run, the load
 * of their calls at each backend server, and how up to date they are with the store.
 *
 * @example
 * ```ts
 * import { FleetView, LoadTracker } from "./fleet/mod.ts";
 * const view = new FleetView({ self, loads: new LoadTracker() });
 * view.applyReport(report, nowMs);
 * view.listReady(region, nowMs);
 * ```
 * @module
 */
export * from "./fleet_report.ts";
export * from "./encode_report.ts";
export * from "./remembered_reports.ts";
export * from "./reported_own_loads.ts";
export * from "./team_usage_tracker.ts";
export * from "./load_tracker.ts";
export * from "./pick_relays.ts";
export * from "./prefix_key.ts";
export * from "./prefix_queue.ts";
export * from "./plan_reports.ts";
export * from "./member_table.ts";
export * from "./summary_reception.ts";
export * from "./fleet_view.ts";
export * from "./report_writer.ts";
