import type { BackendId, CallFingerprint } from "../ids/mod.ts";
import { isPartFingerprint } from "./part_fingerprint.ts";

/** What is known against calls during which servers crashed. */
export interface Suspect {
  readonly call: CallFingerprint;
  readonly servers: Set<BackendId>;
  lastCrashMs: number;
  /** Number of trials during quarantine that crashed servers again. */
  failedTrials: number;
  /** When this instance last let such a call run as a trial, in milliseconds. */
  trialMs: number;
  /** First and last of the calls that came here while a trial was due, in milliseconds. */
  asked: { readonly firstMs: number; readonly lastMs: number } | undefined;
}

/** Returns the record of calls during which no server has crashed yet. */
export function createSuspect(
  call: CallFingerprint,
  lastCrashMs: number,
): Suspect {
  return {
    call,
    servers: new Set(),
    lastCrashMs,
    failedTrials: 0,
    trialMs: -Infinity,
    asked: undefined,
  };
}

/**
 * Counts the servers whose crashes are attributed to a suspect: those that crashed during it,
 * without those that also crashed during another suspect with more evidence against it. That
 * one crashed them, and this one ran beside it.
 *
 * @param suspect The suspect.
 * @param others Suspects with many crashes; the suspect itself may be among them.
 */
export function countAttributed(
  suspect: Suspect,
  others: readonly Suspect[],
): number {
  const stronger = others.filter((other) => explainsMore(other, suspect));
  return [...suspect.servers]
    .filter((server) => !stronger.some(({ servers }) => servers.has(server)))
    .length;
}

/**
 * Returns whether there is more evidence against one suspect than against another. If the same
 * crashes speak against a whole content and against a part of it, only calls of that content
 * have crashed servers, and the part may be harmless.
 */
function explainsMore(one: Suspect, other: Suspect): boolean {
  const difference = one.failedTrials - other.failedTrials ||
    one.servers.size - other.servers.size;
  if (difference !== 0) return difference > 0;
  return !isPartFingerprint(one.call) && isPartFingerprint(other.call);
}
