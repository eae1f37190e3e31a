import type { BackendId, CallFingerprint } from "../ids/mod.ts";

/** What one instance reports to others of calls during which servers crashed. */
export interface CrashReport {
  /** What these calls have in common: their whole content, or a part of their prompts. */
  readonly call: CallFingerprint;
  /** Servers that crashed while they had such a call; none: a server has answered one since. */
  readonly servers: readonly BackendId[];
  /** Time since the last of these crashes, or since the answer, in milliseconds. */
  readonly ageMs: number;
  /** Number of trials of quarantined calls that crashed servers again. Default: 0. */
  readonly failedTrials?: number;
}
