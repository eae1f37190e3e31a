/**
 * Load tests: scenarios, open-loop runs, reports and plots.
 *
 * @example
 * ```ts
 * import { createLoadReport } from "./load/mod.ts";
 * createLoadReport([], 1).goodput; // 0
 * ```
 * @module
 */
export * from "./load_report.ts";
export * from "./plot_page.ts";
export * from "./run_load.ts";
export * from "./scenario.ts";
