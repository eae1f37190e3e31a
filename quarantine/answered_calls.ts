import type { CallFingerprint } from "../ids/mod.ts";

/**
 * How long an answer protects calls from suspicion, in milliseconds. Many callers may
 * send the same call, and several servers may crash at once for a reason of their own.
 * After that time, the call may reach servers of another version.
 */
const ANSWER_VALID_MS = 60_000;

/** Remembers, for a while, which calls were answered; the ones answered first are forgotten first. */
export class AnsweredCalls {
  readonly #maxCount: number;
  readonly #answeredMs = new Map<CallFingerprint, number>();

  /** @param maxCount Maximum number of calls that are remembered. */
  constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  /** Records that a call was answered at a time, in milliseconds. */
  record(call: CallFingerprint, atMs: number): void {
    const knownMs = this.#answeredMs.get(call) ?? atMs;
    this.#answeredMs.delete(call);
    this.#answeredMs.set(call, Math.max(knownMs, atMs));
    if (this.#answeredMs.size <= this.#maxCount) return;
    const [oldest] = this.#answeredMs.keys();
    this.#answeredMs.delete(oldest!);
  }

  /** Returns when a call was last answered, if that still protects it from suspicion. */
  readValidMs(call: CallFingerprint, nowMs: number): number | undefined {
    const atMs = this.#answeredMs.get(call);
    return atMs !== undefined && nowMs - atMs < ANSWER_VALID_MS
      ? atMs
      : undefined;
  }
}
