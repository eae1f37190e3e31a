/** Health of one backend server, as observed by this instance. */
export interface EngineHealth {
  /** Number of consecutive failures. */
  readonly failures: number;
  /** Time until which the server is ejected, in milliseconds; 0 if it is not ejected. */
  readonly ejectedUntilMs: number;
  /** Number of consecutive ejections. */
  readonly ejections: number;
  /**
   * Time until which a server that refused its last connection is not tried, in
   * milliseconds; 0 if it is reachable. An answered poll resets it.
   */
  readonly unreachableUntilMs: number;
  /**
   * Time from which the slow start counts, in milliseconds: the end of the last
   * ejection, or the first poll answered after the server was unreachable. 0 if the
   * server was never ejected or unreachable.
   */
  readonly slowStartMs: number;
}

/** Events that change a server's health. */
export type HealthEvent =
  | { readonly kind: "succeeded" }
  | { readonly kind: "failed" }
  /** No connection could be established: the server itself is unreachable. */
  | { readonly kind: "unreachable" }
  /** The server answered a poll. */
  | { readonly kind: "polled" };

/** Number of consecutive failures after which a server is ejected. */
export const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;
const SLOW_START_DURATION_MS = 8_000;
/** How long a server that refuses connections is left out, unless it answers a poll earlier. */
const UNREACHABLE_PAUSE_MS = 3_000;
const MIN_SLOW_START_SHARE = 0.1;
/** Minimum fraction of healthy servers; below it the failure has a common cause. */
export const MIN_HEALTHY_FRACTION = 0.5;

/** Health of a server before its first call. */
export const INITIAL_HEALTH: EngineHealth = {
  failures: 0,
  ejectedUntilMs: 0,
  ejections: 0,
  unreachableUntilMs: 0,
  slowStartMs: 0,
};

/**
 * Returns the health of a server after an event.
 *
 * @param health Health before the event.
 * @param event Event to apply.
 * @param nowMs Current time, in milliseconds.
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
      return { ...health, unreachableUntilMs: nowMs + UNREACHABLE_PAUSE_MS };
    case "polled": {
      if (health.unreachableUntilMs === 0) return health;
      // The server was unreachable: its share grows again from the minimum.
      const ejections = Math.max(1, health.ejections);
      return {
        ...health,
        unreachableUntilMs: 0,
        ejections,
        slowStartMs: nowMs,
      };
    }
  }
}

function recordSuccess(health: EngineHealth, nowMs: number): EngineHealth {
  const isPastSlowStart = nowMs - health.slowStartMs > SLOW_START_DURATION_MS;
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
  const isAfterEjection = health.ejections > 0 &&
    nowMs >= health.ejectedUntilMs;
  if (failures < FAILURES_TO_EJECT && !isAfterEjection) {
    return { ...health, failures };
  }
  const ejectionMs = Math.min(
    MAX_EJECTION_MS,
    FIRST_EJECTION_MS * 2 ** health.ejections,
  );
  return {
    ...health,
    failures,
    ejectedUntilMs: nowMs + ejectionMs,
    ejections: health.ejections + 1,
    slowStartMs: nowMs + ejectionMs,
  };
}

/** Returns whether a server is ejected or unreachable at `nowMs`. */
export function isEjected(health: EngineHealth, nowMs: number): boolean {
  return nowMs < Math.max(health.ejectedUntilMs, health.unreachableUntilMs);
}

/**
 * Returns the share of a server's slots that may be used, from 0.1 to 1. It grows
 * during the slow start after an ejection.
 */
export function computeSlowStartShare(
  health: EngineHealth,
  nowMs: number,
): number {
  if (health.ejections === 0) return 1;
  const share = (nowMs - health.slowStartMs) / SLOW_START_DURATION_MS;
  return Math.min(1, Math.max(MIN_SLOW_START_SHARE, share));
}

/**
 * Returns the servers that may be used. Servers that refuse connections are left
 * out while any other server is reachable. If more than half of the remaining ones
 * are ejected, the cause is not the servers themselves, and all of them are used.
 *
 * @param servers All candidates.
 * @param nowMs Current time, in milliseconds.
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
  return healthy.length >= candidates.length * MIN_HEALTHY_FRACTION
    ? healthy
    : candidates;
}
