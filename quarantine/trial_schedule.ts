import type { Suspect } from "./suspect.ts";

/**
 * Time from the last crash of quarantined calls to the next trial, in milliseconds, by the
 * number of trials that have failed. The first one comes soon: calls that merely ran on
 * servers that crashed must not be refused for long. Each of the others may cost a server.
 */
const TRIAL_DELAYS_MS = [1_000, 60_000, 300_000, 600_000] as const;
/**
 * Delay between the trials of instances, in milliseconds, by their rank: the outcome of the
 * first instance's trial is known to the next one in that time.
 */
const RANK_DELAY_MS = 1_500;
/**
 * Pause after which calls that come count as new ones, in milliseconds. Otherwise a call that
 * comes to all instances at once after a pause would be tried by all of them.
 */
const ASK_PAUSE_MS = 15_000;
/** Time after which a trial without an outcome is repeated, in milliseconds. */
const TRIAL_TIMEOUT_MS = 5_000;

/**
 * Returns when the first instance may try a quarantined call, in milliseconds. A first trial
 * comes soon. Later ones are delayed by the failed trials of all calls, as each of several calls
 * at fault would otherwise cost as many servers as one.
 *
 * @param suspect What is known against the call.
 * @param allFailedTrials Number of failed trials of all quarantined calls.
 */
export function computeFirstTrialMs(
  { failedTrials, lastCrashMs }: Suspect,
  allFailedTrials: number,
): number {
  const last = TRIAL_DELAYS_MS.length - 1;
  const count = failedTrials === 0
    ? 0
    : Math.max(failedTrials, allFailedTrials);
  return lastCrashMs + TRIAL_DELAYS_MS[Math.min(count, last)]!;
}

/** Records that a quarantined call came to this instance, if a trial is due. */
export function recordAsked(
  suspect: Suspect,
  allFailedTrials: number,
  nowMs: number,
): void {
  if (nowMs < computeFirstTrialMs(suspect, allFailedTrials)) return;
  const { asked } = suspect;
  const isContinued = asked !== undefined &&
    nowMs - asked.lastMs < ASK_PAUSE_MS;
  const firstMs = isContinued ? asked.firstMs : nowMs;
  suspect.asked = { firstMs, lastMs: nowMs };
}

/**
 * Returns when this instance may try a quarantined call, in milliseconds. Instances take turns
 * from the first call that comes while a trial is due.
 *
 * @param suspect What is known against the call.
 * @param allFailedTrials Number of failed trials of all quarantined calls.
 * @param rank Place of this instance in the order in which instances try the call, from 0.
 */
export function computeOwnTrialMs(
  suspect: Suspect,
  allFailedTrials: number,
  rank: number,
): number {
  const firstTrialMs = computeFirstTrialMs(suspect, allFailedTrials);
  const dueMs = Math.max(firstTrialMs, suspect.asked?.firstMs ?? firstTrialMs);
  return Math.max(
    dueMs + rank * RANK_DELAY_MS,
    suspect.trialMs + TRIAL_TIMEOUT_MS,
  );
}
