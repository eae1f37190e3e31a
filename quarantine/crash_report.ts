import type { BackendId, CallFingerprint } from "../ids/mod.ts";

/** What one instance reports to others of a call during which servers crashed. */
export interface CrashReport {
  readonly call: CallFingerprint;
  /** Servers that crashed while they had the call; none: a server has answered it since. */
  readonly servers: readonly BackendId[];
  /** Time since the last of these crashes, or since the answer, in milliseconds. */
  readonly ageMs: number;
}
