/**
 * Time, timers and random numbers as parameters, so that the same decision code
 * runs on a real or on a virtual clock.
 *
 * @example
 * ```ts
 * import { VirtualClock } from "./clock/mod.ts";
 * const clock = new VirtualClock();
 * clock.schedule(100, () => console.log("due"));
 * await clock.advance(100);
 * ```
 * @module
 */
export * from "./cancellation.ts";
export * from "./clock.ts";
export * from "./event_loop_delay.ts";
export * from "./random.ts";
export * from "./sliding_window_counter.ts";
export * from "./virtual_clock.ts";
