/** Health of one backend server, as this daemon sees it. */
export interface EngineHealth {
  /** Failures in a row. */
  readonly failures: number;
  /** Ejected until then, in milliseconds; 0: not ejected. */
  readonly ejectedUntilMs: number;
  /** Ejections in a row. */
  readonly ejections: number;
  /** When it came back; its slow start counts from then. 0: it was never away. */
  readonly returnedMs: number;
}

/** What its health learns from. */
export type HealthEvent =
  | { readonly kind: "succeeded" }
  | { readonly kind: "failed" };

/** Failures in a row that eject a server. */
export const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const LONGEST_EJECTION_MS = 30_000;
const SLOW_START_MS = 8_000;
const SLOW_START_FLOOR = 0.1;
/** Share of a pool that is never ejected: beyond it the failure is a common one. */
export const HEALTHY_FLOOR = 0.5;

/** Health before the first call. */
export const UNTRIED: EngineHealth = {
  failures: 0,
  ejectedUntilMs: 0,
  ejections: 0,
  returnedMs: 0,
};

/**
 * Returns the health after an event.
 *
 * @param health Before.
 * @param event What happened.
 * @param nowMs Time now.
 */
export function applyHealthEvent(
  health: EngineHealth,
  event: HealthEvent,
  nowMs: number,
): EngineHealth {
  if (event.kind === "succeeded") {
    const isPastSlowStart = nowMs - health.returnedMs > SLOW_START_MS;
    return {
      ...health,
      failures: 0,
      ejections: isPastSlowStart ? 0 : health.ejections,
      ejectedUntilMs: 0,
    };
  }
  const failures = health.failures + 1;
  const hasReturned = health.ejections > 0 && nowMs >= health.ejectedUntilMs;
  if (failures < FAILURES_TO_EJECT && !hasReturned) {
    return { ...health, failures };
  }
  const pauseMs = Math.min(
    LONGEST_EJECTION_MS,
    FIRST_EJECTION_MS * 2 ** health.ejections,
  );
  return {
    failures,
    ejectedUntilMs: nowMs + pauseMs,
    ejections: health.ejections + 1,
    returnedMs: nowMs + pauseMs,
  };
}

/** Whether a server is ejected now. */
export function isEjected(health: EngineHealth, nowMs: number): boolean {
  return nowMs < health.ejectedUntilMs;
}

/**
 * Returns the share of its slots that a server gets, from 0.1 to 1: it grows
 * over the slow start after an ejection.
 */
export function computeStartShare(health: EngineHealth, nowMs: number): number {
  if (health.ejections === 0) return 1;
  const share = (nowMs - health.returnedMs) / SLOW_START_MS;
  return Math.min(1, Math.max(SLOW_START_FLOOR, share));
}

/**
 * Returns the servers that may be used. If more than half of them are ejected,
 * the failure is not theirs, and all are used.
 *
 * @param servers All candidates.
 * @param nowMs Time now.
 */
export function pickHealthy<T extends { readonly health: EngineHealth }>(
  servers: readonly T[],
  nowMs: number,
): readonly T[] {
  const healthy = servers.filter(({ health }) => !isEjected(health, nowMs));
  return healthy.length >= servers.length * HEALTHY_FLOOR ? healthy : servers;
}
