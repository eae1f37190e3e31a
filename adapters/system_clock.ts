import { randomInt } from "node:crypto";
import { uptime } from "node:os";
import { type Clock, createRandom, type Random } from "../clock/mod.ts";

/** The only place that reads the clock and the timers of the platform. */
export const systemClock: Clock = {
  nowMs: () => performance.timeOrigin + performance.now(),
  // The steady clock of Node stands still during a suspension; the system's does not.
  elapsedMs: () => 1_000 * uptime(),
  schedule: (delayMs, callback, signal) => {
    if (signal?.aborted) return;
    const cancel = () => clearTimeout(timer);
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", cancel);
      callback();
    }, delayMs);
    signal?.addEventListener("abort", cancel, { once: true });
  },
};

/** Returns a source of random numbers with a seed from the platform. */
export function createSystemRandom(): Random {
  return createRandom(randomInt(2 ** 31));
}
