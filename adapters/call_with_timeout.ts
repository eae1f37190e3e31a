import { Cancellation, scheduleAfterReading } from "../clock/mod.ts";
import { systemClock } from "./system_clock.ts";

/** Bounds of {@linkcode callWithTimeout}. */
export interface CallBounds {
  /** Maximum time, in milliseconds. */
  readonly timeoutMs: number;
  /** Aborts the call earlier. Default: none. */
  readonly signal?: AbortSignal | undefined;
}

/**
 * Makes a call with a signal that aborts after a time, or with another signal. Unlike that of
 * `AbortSignal.timeout()`, its time ends only after the event loop has read what has arrived:
 * a process that stalled would take its own delay for the silence of the other side. And the
 * result of `AbortSignal.any()` does not keep a timeout signal alive: after a garbage
 * collection, it never aborts.
 *
 * @param bounds Timeout, and what else aborts the call.
 * @param call Function that makes the call with the signal.
 */
export async function callWithTimeout<Result>(
  { signal, timeoutMs }: CallBounds,
  call: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const ended = new AbortController();
  const abort = () => ended.abort(signal?.reason);
  const timer = new Cancellation();
  scheduleAfterReading(
    systemClock,
    timeoutMs,
    () => ended.abort(new Error(`The call took over ${timeoutMs} ms`)),
    timer,
  );
  signal?.addEventListener("abort", abort, { once: true });
  if (signal?.aborted) abort();
  try {
    return await call(ended.signal);
  } finally {
    timer.cancel();
    signal?.removeEventListener("abort", abort);
  }
}
