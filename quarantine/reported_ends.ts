import type { BackendId, CallFingerprint } from "../ids/mod.ts";

/** What one instance tells others of a call under which servers ended. */
export interface ReportedEnds {
  readonly call: CallFingerprint;
  /** Servers that ended while they had it; none: a server has answered it since. */
  readonly servers: readonly BackendId[];
  /** Time since the last of them ended, or since the answer, in milliseconds. */
  readonly ageMs: number;
}
