/** Time and timers. Decisions and daemons take it as a parameter. */
export interface Clock {
  /** Returns milliseconds since the epoch. */
  nowMs(): number;
  /**
   * Returns milliseconds since any start, on a clock that goes on while the machine is
   * suspended, as `nowMs` does not. Costlier, and coarser by some ten milliseconds: for
   * what another process counts as well, a lease say.
   */
  elapsedMs(): number;
  /**
   * Calls back once after a delay, unless the signal aborts first.
   *
   * @param delayMs Delay in milliseconds.
   * @param callback What to call.
   * @param signal Cancels the timer.
   */
  schedule(delayMs: number, callback: () => void, signal?: AbortSignal): void;
}

/** Reason of a timer's end; without one each abort would make an error with its stack. */
const CANCELLED = "cancelled";

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
    const timer = new AbortController();
    const finish = () => {
      signal?.removeEventListener("abort", finish);
      timer.abort(CANCELLED);
      resolve();
    };
    signal?.addEventListener("abort", finish, { once: true });
    clock.schedule(delayMs, finish, timer.signal);
  });
}

/**
 * Calls back after a delay and one more turn of the loop. Timers run before what
 * has arrived is read: without the turn, a process that is behind takes its own
 * lateness for the silence of others.
 *
 * @param clock Source of time.
 * @param delayMs Delay in milliseconds.
 * @param callback What to call.
 * @param signal Cancels the timer.
 */
export function scheduleAfterReading(
  clock: Clock,
  delayMs: number,
  callback: () => void,
  signal: AbortSignal,
): void {
  clock.schedule(delayMs, () => clock.schedule(0, callback, signal), signal);
}

/**
 * Calls back every interval until the signal aborts. A call that takes longer
 * than the interval delays the next one, so that calls never overlap.
 *
 * @param clock Source of time.
 * @param intervalMs Pause between calls in milliseconds.
 * @param callback What to call.
 * @param signal Ends the series.
 */
export function scheduleEvery(
  clock: Clock,
  intervalMs: number,
  callback: () => void | Promise<void>,
  signal: AbortSignal,
): void {
  const runOnce = async () => {
    await callback();
    if (!signal.aborted) {
      clock.schedule(intervalMs, () => void runOnce(), signal);
    }
  };
  clock.schedule(intervalMs, () => void runOnce(), signal);
}
