/**
 * Time from the start of a shutdown during which calls of any length are accepted, in
 * milliseconds. Callers learn of the shutdown within a few answers.
 */
export const ACCEPT_ALL_CALLS_MS = 2_500;
/**
 * Minimum time for which all calls are refused before the process exits, in milliseconds.
 * Calls that have just been sent, and connections that wait to be accepted, still get an
 * answer. It spans four checks for calls in flight: a process whose event loop was 0.2 s
 * behind and that exited at once left a call unread.
 */
const MIN_CLOSING_MS = 200;
/** Time between the close of all connections and the end of the grace period, in milliseconds. */
const GRACE_MARGIN_MS = 300;
/**
 * Minimum time between the deadline of a late call and the close of all connections, in
 * milliseconds. It covers four checks for calls in flight and the transfer of the answer.
 */
const LATE_CALL_MARGIN_MS = 200;

/** Start and grace period of a graceful shutdown. */
export interface ShutdownTimes {
  /** Time at which the shutdown began, in milliseconds. */
  readonly startMs: number;
  /** Time from the start until the process is killed, in milliseconds. */
  readonly graceMs: number;
}

/** Facts that decide which calls an instance accepts during its shutdown. */
export interface ShutdownFacts {
  /** Current time, in milliseconds. */
  readonly nowMs: number;
  /** Number of calls in flight that were accepted before the shutdown or in its first seconds. */
  readonly earlyCalls: number;
  /** Whether another instance of the region accepts calls. */
  readonly hasReadyPeer: boolean;
}

/**
 * Which calls an instance accepts during its shutdown: all (`taking`), those that complete
 * before all connections are closed (`lingering`), or none (`closing`).
 */
export type ShutdownStage = "accepting" | "lingering" | "closing";

/**
 * Returns which calls an instance accepts during its shutdown. An instance that waits for
 * long answers goes on accepting short calls while no other instance of its region is
 * ready: otherwise, when all instances of three regions restarted within seconds, callers
 * had no instance to call for 5 s.
 */
export function decideShutdownStage(
  { startMs }: ShutdownTimes,
  { earlyCalls, hasReadyPeer, nowMs }: ShutdownFacts,
): ShutdownStage {
  if (nowMs - startMs <= ACCEPT_ALL_CALLS_MS) return "accepting";
  return earlyCalls > 0 && !hasReadyPeer ? "lingering" : "closing";
}

/** Facts that decide whether the process may exit before its grace period ends. */
export interface ExitFacts {
  /** Current stage of the shutdown. */
  readonly stage: ShutdownStage;
  /** Time since the stage began, in milliseconds. */
  readonly stageMs: number;
  /** Number of answers that have not been sent completely. */
  readonly openCount: number;
}

/** Returns whether the process may exit before its grace period ends. */
export function mayExit({ openCount, stage, stageMs }: ExitFacts): boolean {
  return stage === "closing" && stageMs >= MIN_CLOSING_MS && openCount === 0;
}

/** Returns the time at which all connections have to be closed, in milliseconds. */
export function computeCloseMs({ graceMs, startMs }: ShutdownTimes): number {
  return startMs + graceMs - GRACE_MARGIN_MS;
}

/**
 * Returns whether a call is answered, or its deadline has passed, before all connections
 * are closed.
 *
 * @param times Start and grace period of the shutdown.
 * @param deadlineMs Deadline of the call, in milliseconds.
 */
export function isDoneBeforeClose(
  times: ShutdownTimes,
  deadlineMs: number,
): boolean {
  return deadlineMs <= computeCloseMs(times) - LATE_CALL_MARGIN_MS;
}
