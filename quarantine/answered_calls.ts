import type { CallFingerprint } from "../ids/mod.ts";

/**
 * How long an answer protects calls from suspicion, in milliseconds. Many callers may
 * send the same call, and several servers may crash at once for a reason of their own.
 * After that time, the call may reach servers of another version.
 */
const ANSWER_VALID_MS = 60_000;

/**
 * Remembers, for a while, which calls were answered. Two generations make room at once, as
 * removing single entries from the front of a map gets slow.
 */
export class AnsweredCalls {
  readonly #maxCount: number;
  #newer = new Map<CallFingerprint, number>();
  #older: ReadonlyMap<CallFingerprint, number> = new Map();

  /** @param maxCount Maximum number of calls that are remembered; the last half of them always are. */
  constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  /** Records that a call was answered at a time, in milliseconds. */
  record(call: CallFingerprint, atMs: number): void {
    this.#newer.set(call, Math.max(this.#readMs(call) ?? atMs, atMs));
    if (this.#newer.size < this.#maxCount / 2) return;
    this.#older = this.#newer;
    this.#newer = new Map();
  }

  /** Returns whether an answer of a call is remembered. */
  has(call: CallFingerprint): boolean {
    return this.#newer.has(call) || this.#older.has(call);
  }

  /** Returns when a call was last answered, if that still protects it from suspicion. */
  readValidMs(call: CallFingerprint, nowMs: number): number | undefined {
    const atMs = this.#readMs(call);
    return atMs !== undefined && nowMs - atMs < ANSWER_VALID_MS
      ? atMs
      : undefined;
  }

  #readMs(call: CallFingerprint): number | undefined {
    return this.#newer.get(call) ?? this.#older.get(call);
  }
}
