/**
 * How long an instance that leaves takes calls of every length, in milliseconds:
 * callers hear of its leaving within a few answers.
 */
export const LEAVING_TAKES_CALLS_MS = 2_500;
/**
 * How long an instance refuses callers before it ends, in milliseconds: those that have
 * just called, or wait to be accepted, get their answer. Four looks at what is in
 * flight. A process that was 0.2 s behind and ended at once left a call unread.
 */
const CLOSING_MS = 200;
/** Left of the grace when everything is closed, in milliseconds. */
const GRACE_MARGIN_MS = 300;
/**
 * Time that a call taken late must have left over at the end of the grace, in
 * milliseconds: four looks at what is in flight, and the answer on its way.
 */
const LATE_CALL_MARGIN_MS = 200;

/** When an instance leaves. */
export interface DepartureTimes {
  /** When it began. */
  readonly sinceMs: number;
  /** Time from then until the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/** What decides which calls an instance that leaves takes. */
export interface DepartureFacts {
  readonly nowMs: number;
  /** Calls being served that it took before or in its first seconds. */
  readonly awaited: number;
  /** Whether another instance of its region takes calls. */
  readonly hasStandIn: boolean;
}

/**
 * Which calls an instance that leaves takes: all (`taking`), those that end before it
 * does (`lingering`), or none (`closing`).
 */
export type DepartureStage = "taking" | "lingering" | "closing";

/**
 * Returns which calls an instance that leaves takes. One that has to wait for long
 * answers goes on taking short calls while its region has no other: all instances of
 * three regions restarted within seconds left callers with nobody for 5 s.
 */
export function judgeDeparture(
  { sinceMs }: DepartureTimes,
  { awaited, hasStandIn, nowMs }: DepartureFacts,
): DepartureStage {
  if (nowMs - sinceMs <= LEAVING_TAKES_CALLS_MS) return "taking";
  return awaited > 0 && !hasStandIn ? "lingering" : "closing";
}

/** What decides whether an instance that leaves may end. */
export interface DepartureEnd {
  readonly stage: DepartureStage;
  /** For how long it has been in that stage, in milliseconds. */
  readonly stageMs: number;
  /** Answers that are not yet with their callers. */
  readonly openCount: number;
}

/** Whether an instance that leaves may end before its grace does. */
export function hasDone({ openCount, stage, stageMs }: DepartureEnd): boolean {
  return stage === "closing" && stageMs >= CLOSING_MS && openCount === 0;
}

/** Returns when everything has to be closed. */
export function findEndMs({ graceMs, sinceMs }: DepartureTimes): number {
  return sinceMs + graceMs - GRACE_MARGIN_MS;
}

/**
 * Whether a call taken now has its answer, or its time over, before the process ends.
 *
 * @param times When it leaves.
 * @param dueMs When the time of the call is over.
 */
export function isOverInTime(times: DepartureTimes, dueMs: number): boolean {
  return dueMs <= findEndMs(times) - LATE_CALL_MARGIN_MS;
}
