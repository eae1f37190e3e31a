import { randomInt } from "node:crypto";
import { type Clock, createRandom, type Random } from "../clock/mod.ts";

/** The only place that reads the clock and the timers of the platform. */
export const systemClock: Clock = {
  nowMs: () => performance.timeOrigin + performance.now(),
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
