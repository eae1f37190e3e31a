/**
 * Runs the platform's program as real processes, injects faults from outside by a
 * seeded plan, and checks what callers and backend servers observed against the
 * promises in docs/SOAK.md.
 *
 * @example
 * ```ts
 * import { runSoak } from "./soak/mod.ts";
 * const report = await runSoak({
 *   program: buildProgram(),
 *   seed: 1,
 *   seconds: 20,
 *   instancesPerRegion: 2,
 *   print: console.log,
 * });
 * console.log(report.violations);
 * ```
 * @module
 */
export * from "./fault.ts";
export * from "./fault_runner.ts";
export * from "./caller.ts";
export * from "./check_promises.ts";
export * from "./crowd.ts";
export * from "./link_proxy.ts";
export * from "./observation.ts";
export * from "./plan.ts";
export * from "./run_soak.ts";
export * from "./soak_fleet.ts";
