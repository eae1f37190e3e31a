import { Cancellation, type CancelSignal } from "./cancellation.ts";

/** Time and timers; passed as a parameter to whatever needs them. */
export interface Clock {
  /** Returns milliseconds since the epoch. */
  nowMs(): number;
  /**
   * Returns milliseconds since an arbitrary start, on a clock that, unlike that of
   * `nowMs`, keeps running while the machine is suspended. It costs more and is coarser
   * by about ten milliseconds; for durations that another process measures too, such as
   * that of a lease.
   */
  elapsedMs(): number;
  /**
   * Calls a function once after a delay, unless the signal aborts first.
   *
   * @param delayMs Delay in milliseconds.
   * @param callback Function to call.
   * @param signal Cancels the timer.
   */
  schedule(delayMs: number, callback: () => void, signal?: CancelSignal): void;
}

/**
 * Resolves after a delay, or at once when the signal aborts.
 *
 * @param clock Source of time.
 * @param delayMs Delay in milliseconds.
 * @param signal Ends the wait early.
 */
export function waitFor(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const timer = new Cancellation();
    const finish = () => {
      signal?.removeEventListener("abort", finish);
      timer.cancel();
      resolve();
    };
    signal?.addEventListener("abort", finish, { once: true });
    clock.schedule(delayMs, finish, timer);
  });
}

/**
 * Calls a function after a delay and one more iteration of the event loop. Timers run
 * before bytes that have arrived are read: without the extra iteration, a process that
 * is behind would mistake its own delay for the silence of others.
 *
 * @param clock Source of time.
 * @param delayMs Delay in milliseconds.
 * @param callback Function to call.
 * @param signal Cancels the timer.
 */
export function scheduleAfterReading(
  clock: Clock,
  delayMs: number,
  callback: () => void,
  signal: CancelSignal,
): void {
  clock.schedule(delayMs, () => clock.schedule(0, callback, signal), signal);
}

/**
 * Calls a function repeatedly until the signal aborts, with a pause after each call.
 * A call that takes long delays the next one, so that calls never overlap. A call that
 * fails is left to the process as an unhandled rejection, and the series continues.
 *
 * @param clock Source of time.
 * @param intervalMs Pause between calls in milliseconds.
 * @param callback Function to call.
 * @param signal Ends the series.
 */
export function scheduleEvery(
  clock: Clock,
  intervalMs: number,
  callback: () => void | Promise<void>,
  signal: AbortSignal,
): void {
  const runOnce = async () => {
    try {
      await callback();
    } finally {
      if (!signal.aborted) {
        clock.schedule(intervalMs, () => void runOnce(), signal);
      }
    }
  };
  clock.schedule(intervalMs, () => void runOnce(), signal);
}
