/**
 * Plays calls that may run once against the platform's program as real processes, beside
 * servers that answer falsely and are started anew, and checks that none runs twice and
 * that none is refused which runs.
 *
 * @example
 * ```ts
 * import { playRepeats } from "./repeats/mod.ts";
 * const report = await playRepeats({
 *   program: buildProgram(),
 *   seed: 1,
 *   seconds: 20,
 *   instancesPerRegion: 2,
 *   serversPerRegion: 1,
 *   faults: ["copied-refusals"],
 *   disturbances: ["restarted-servers"],
 *   logFolder: "/tmp/logs",
 * });
 * console.log(report.broken);
 * ```
 * @module
 */
export * from "./arrival.ts";
export * from "./arrival_server.ts";
export * from "./disturb.ts";
export * from "./play_repeats.ts";
export * from "./repeat_caller.ts";
export * from "./repeat_fleet.ts";
