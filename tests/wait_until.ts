import assert from "node:assert/strict";
import { systemClock } from "../adapters/system_clock.ts";
import { waitFor } from "../clock/mod.ts";

const POLL_INTERVAL_MS = 5;

/** Waits until a condition holds, and fails if it does not within a time, in milliseconds. */
export async function waitUntil(
  isDone: () => boolean,
  timeoutMs = 20_000,
): Promise<void> {
  const endMs = systemClock.nowMs() + timeoutMs;
  while (!isDone() && systemClock.nowMs() < endMs) {
    await waitFor(systemClock, POLL_INTERVAL_MS);
  }
  assert.ok(isDone(), `${isDone} does not hold after ${timeoutMs} ms`);
}
