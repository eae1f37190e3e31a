/** Health of one backend server, as this daemon sees it. */
export interface EngineHealth {
  /** Failures in a row. */
  readonly failures: number;
  /** Ejected until then, in milliseconds; 0: not ejected. */
  readonly ejectedUntilMs: number;
  /** Ejections in a row. */
  readonly ejections: number;
  /** Refused its last connection; not tried until then, unless it answers a poll. */
  readonly unreachableUntilMs: number;
  /** When it came back; its slow start counts from then. 0: it was never away. */
  readonly returnedMs: number;
}

/** What its health learns from. */
export type HealthEvent =
  | { readonly kind: "succeeded" }
  | { readonly kind: "failed" }
  /** No connection came about: the server itself is away. */
  | { readonly kind: "unreachable" }
  /** It answered a poll. */
  | { readonly kind: "polled" };

/** Failures in a row that eject a server. */
export const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const LONGEST_EJECTION_MS = 30_000;
const SLOW_START_MS = 8_000;
/** How long a server that refuses connections is left out, if polls do not say otherwise. */
const UNREACHABLE_MS = 3_000;
const SLOW_START_FLOOR = 0.1;
/** Share of a pool that is never ejected: beyond it the failure is a common one. */
export const HEALTHY_FLOOR = 0.5;

/** Health before the first call. */
export const UNTRIED: EngineHealth = {
  failures: 0,
  ejectedUntilMs: 0,
  ejections: 0,
  unreachableUntilMs: 0,
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
  switch (event.kind) {
    case "succeeded":
      return recordSuccess(health, nowMs);
    case "failed":
      return recordFailure(health, nowMs);
    case "unreachable":
      return { ...health, unreachableUntilMs: nowMs + UNREACHABLE_MS };
    case "polled": {
      if (health.unreachableUntilMs === 0) return health;
      // It was away: its share grows again from the floor.
      const ejections = Math.max(1, health.ejections);
      return { ...health, unreachableUntilMs: 0, ejections, returnedMs: nowMs };
    }
  }
}

function recordSuccess(health: EngineHealth, nowMs: number): EngineHealth {
  const isPastSlowStart = nowMs - health.returnedMs > SLOW_START_MS;
  return {
    ...health,
    failures: 0,
    ejections: isPastSlowStart ? 0 : health.ejections,
    ejectedUntilMs: 0,
    unreachableUntilMs: 0,
  };
}

function recordFailure(health: EngineHealth, nowMs: number): EngineHealth {
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
    ...health,
    failures,
    ejectedUntilMs: nowMs + pauseMs,
    ejections: health.ejections + 1,
    returnedMs: nowMs + pauseMs,
  };
}

/** Whether a server is ejected or unreachable now. */
export function isEjected(health: EngineHealth, nowMs: number): boolean {
  return nowMs < Math.max(health.ejectedUntilMs, health.unreachableUntilMs);
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
 * Returns the servers that may be used. Those that refuse connections are left
 * out while any other is there. Of the others, if more than half are ejected,
 * the failure is not theirs, and all are used.
 *
 * @param servers All candidates.
 * @param nowMs Time now.
 */
export function pickHealthy<T extends { readonly health: EngineHealth }>(
  servers: readonly T[],
  nowMs: number,
): readonly T[] {
  const reachable = servers.filter(({ health }) =>
    nowMs >= health.unreachableUntilMs
  );
  const candidates = reachable.length > 0 ? reachable : servers;
  const healthy = candidates.filter(({ health }) => !isEjected(health, nowMs));
  return healthy.length >= candidates.length * HEALTHY_FLOOR
    ? healthy
    : candidates;
}
