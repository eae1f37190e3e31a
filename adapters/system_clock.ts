import { randomInt } from "node:crypto";
import { uptime } from "node:os";
import { type Clock, createRandom, type Random } from "../clock/mod.ts";

/** Clock and timers of the platform. No other code reads the platform's clock or timers. */
export const systemClock: Clock = {
  nowMs: () => performance.timeOrigin + performance.now(),
  // Node's monotonic clock stops while the machine is suspended; the system's uptime doesn't.
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

/** Returns a random number generator that is seeded from the platform's entropy. */
export function createSystemRandom(): Random {
  return createRandom(randomInt(2 ** 31));
}
