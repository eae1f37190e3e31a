import { Cancellation, type CancelSignal } from "./cancellation.ts";

/** Delay of a timer up to which what has arrived meanwhile is of no account, in milliseconds. */
const MAX_TIMER_DELAY_MS = 20;

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
 * Resolves after a delay, or at once when the signal aborts. If its timer fires late, what has
 * arrived meanwhile is read first.
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
  return awaitTimer(
    (finish, timer) => scheduleUnlessLate(clock, delayMs, finish, timer),
    signal,
  );
}

/**
 * Resolves after a delay and one more iteration of the event loop, in which what has arrived
 * is read, or at once when the signal aborts.
 *
 * @param clock Source of time.
 * @param delayMs Delay in milliseconds.
 * @param signal Ends the wait early.
 */
export function waitAndRead(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  return awaitTimer(
    (finish, timer) => scheduleAfterReading(clock, delayMs, finish, timer),
    signal,
  );
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

/** Resolves when a timer fires, or at once when the signal aborts. */
function awaitTimer(
  startTimer: (finish: () => void, timer: Cancellation) => void,
  signal: AbortSignal | undefined,
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
    startTimer(finish, timer);
  });
}

/**
 * Calls a function repeatedly until the signal aborts, with a pause after each call.
 * A call that takes long delays the next one, so that calls never overlap. A call whose timer
 * fires late follows one iteration of the event loop later, in which what has arrived is read.
 * A call that fails is left to the process as an unhandled rejection, and the series continues.
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
      if (!signal.aborted) scheduleNext();
    }
  };
  const scheduleNext = () =>
    scheduleUnlessLate(clock, intervalMs, () => void runOnce(), signal);
  scheduleNext();
}

/** Calls a function after a delay, or if the timer fires late, after one more iteration of the event loop. */
function scheduleUnlessLate(
  clock: Clock,
  delayMs: number,
  callback: () => void,
  signal: CancelSignal,
): void {
  const dueMs = clock.nowMs() + delayMs;
  clock.schedule(delayMs, () => {
    const isLate = clock.nowMs() - dueMs > MAX_TIMER_DELAY_MS;
    if (isLate) clock.schedule(0, callback, signal);
    else callback();
  }, signal);
}
