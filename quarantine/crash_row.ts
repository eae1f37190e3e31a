import { type BackendId, toBackendId, toCallFingerprint } from "../ids/mod.ts";
import type { CrashReport } from "./crash_report.ts";

/**
 * Prefix of the field that holds the number of failed trials. Instances of earlier versions
 * take it for the name of a server.
 */
const TRIALS_PREFIX = "trials=";

/** A crash report as it is sent to other instances. */
export type CrashRow = readonly [
  call: string,
  ageMs: number,
  ...servers: string[],
];

/** Encodes a crash report. */
export function encodeCrashRow(
  { ageMs, call, failedTrials = 0, servers }: CrashReport,
): CrashRow {
  const trials = failedTrials > 0 ? [`${TRIALS_PREFIX}${failedTrials}`] : [];
  return [call, Math.round(ageMs), ...trials, ...servers];
}

/** Decodes a crash report; its fields must have been checked to be texts and a number. */
export function decodeCrashRow(
  [call, ageMs, ...fields]: CrashRow,
): CrashReport {
  const servers: readonly BackendId[] = fields
    .filter((field) => !field.startsWith(TRIALS_PREFIX)).map(toBackendId);
  const trials = fields.find((field) => field.startsWith(TRIALS_PREFIX));
  const failedTrials = Number(trials?.slice(TRIALS_PREFIX.length));
  return {
    call: toCallFingerprint(call),
    ageMs: Math.max(0, ageMs),
    servers,
    ...(failedTrials > 0 ? { failedTrials } : {}),
  };
}
