import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Number of consecutive failures after which a server is suspended. */
const FAILURES_TO_SUSPEND = 2;
/** First suspension, in milliseconds. Each further one doubles, up to the maximum below. */
const INITIAL_SUSPENSION_MS = 500;
const MAX_SUSPENSION_MS = 4_000;
/**
 * Time in which the share of rejected calls of a server decays to a third, in milliseconds.
 * Capacity becomes free within a second or two, and only a call that is sent there shows
 * it.
 */
const REJECTIONS_DECAY_MS = 1_000;
/** Weight of a new outcome in the moving average of failures. */
const OUTCOME_WEIGHT = 0.08;
/**
 * The same weight for the calls of one route. One instance of many sees few of these calls
 * at a server, and a failure costs more than the use of another server.
 */
const ROUTE_OUTCOME_WEIGHT = 0.3;
/**
 * Time in which a route's failure share decays to a third, in milliseconds. Only a call
 * that is sent there shows that the route works again.
 */
const ROUTE_FAILURES_DECAY_MS = 15_000;

/** Failure share below which a route counts as working at a server. */
const WORKING_ROUTE_FAILURE_SHARE = 0.1;

/** Moving average of a share of calls, as of `atMs`. */
interface DecayingShare {
  readonly share: number;
  readonly atMs: number;
}

interface Health {
  readonly byRoute: Map<string, DecayingShare>;
  consecutiveFailures: number;
  suspensionMs: number;
  suspendedUntilMs: number;
  /** End of the cool-down that the server asked for. */
  cooldownUntilMs: number;
  failureShare: number;
  /** Moving average of the share of calls that the server rejected, as of `rejectedMs`. */
  rejectedShare: number;
  rejectedMs: number;
}

/** Outcome of a call at a server, as far as it is evidence about the server. */
export type ServerOutcome =
  | "answered"
  /** The server answered with an error of its own, such as a status of 500 or above. */
  | "error"
  /** The server rejected the call without running it. */
  | "rejected"
  /** The connection failed or broke, or the bytes received were no valid answer. */
  | "no-answer";

/** Outcome of a call at a server, with the call's route. */
export interface RouteOutcome {
  readonly outcome: ServerOutcome;
  /** Name of the route. */
  readonly route: string;
}

/**
 * Tracks which servers fail, from the outcomes of calls. A server that does not answer
 * twice in a row is suspended for a time that doubles. A server that answers with errors
 * more often than the others is preferred less. A server that asks for a cool-down gets
 * it whatever it answers meanwhile, since it knows its state better than its answers
 * show it.
 */
export class ServerHealth {
  readonly #byServer = new Map<BackendId, Health>();

  /** Returns whether a server is suspended now. */
  isSuspended(server: BackendId, nowMs: number): boolean {
    return nowMs < (this.#byServer.get(server)?.suspendedUntilMs ?? 0);
  }

  /** Suspends a server until the given time. */
  suspend(server: BackendId, untilMs: number): void {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    health.suspendedUntilMs = Math.max(health.suspendedUntilMs, untilMs);
  }

  /**
   * Starts or extends the cool-down that a server asked for.
   *
   * @param server The server.
   * @param untilMs End of the cool-down, on this instance's clock.
   * @param nowMs Time now.
   * @returns Whether the server was not cooling down before.
   */
  startCooldown(server: BackendId, untilMs: number, nowMs: number): boolean {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    const isNew = health.cooldownUntilMs <= nowMs;
    health.cooldownUntilMs = Math.max(health.cooldownUntilMs, untilMs);
    return isNew;
  }

  /** Returns the end of a server's cool-down, on this instance's clock; 0 where it never asked for one. */
  readCooldownUntilMs(server: BackendId): number {
    return this.#byServer.get(server)?.cooldownUntilMs ?? 0;
  }

  /**
   * Returns the moving average of the share of calls that failed at a server or were
   * rejected there, from 0 to 1. A server that rejects calls at once has no load: without
   * this share it would be chosen before servers that work. A server may fail the calls
   * of one route only, so each route has a share of its own.
   *
   * @param server The server.
   * @param route Name of the route.
   * @param nowMs Time now.
   */
  readFailureShare(server: BackendId, route: string, nowMs: number): number {
    const health = this.#byServer.get(server);
    if (health === undefined) return 0;
    const failures = Math.max(
      health.failureShare,
      decayRouteFailures(health.byRoute.get(route), nowMs),
    );
    return Math.min(1, failures + decayRejections(health, nowMs));
  }

  /**
   * Records the outcome of a call.
   *
   * @param server Server that the call was sent to.
   * @param outcome Outcome of the call, and its route.
   * @param nowMs Time now.
   * @returns Whether the server is suspended from now on.
   */
  record(
    server: BackendId,
    { outcome, route }: RouteOutcome,
    nowMs: number,
  ): boolean {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    const rejected = outcome === "rejected" ? 1 : 0;
    const rejectedShare = decayRejections(health, nowMs);
    health.rejectedShare = rejectedShare +
      OUTCOME_WEIGHT * (rejected - rejectedShare);
    health.rejectedMs = nowMs;
    if (outcome === "rejected") return false;
    const failed = outcome === "answered" ? 0 : 1;
    // A missing answer is no evidence about the route.
    if (outcome !== "no-answer") recordForRoute(health, route, failed, nowMs);
    // Errors of one route while others work are no evidence about the server.
    const isRouteSpecific = outcome === "error" &&
      hasWorkingRoute(health, nowMs);
    if (!isRouteSpecific) {
      health.failureShare += OUTCOME_WEIGHT * (failed - health.failureShare);
    }
    if (outcome !== "no-answer") {
      health.consecutiveFailures = 0;
      health.suspensionMs = INITIAL_SUSPENSION_MS;
      health.suspendedUntilMs = 0;
      return false;
    }
    health.consecutiveFailures++;
    if (health.consecutiveFailures < FAILURES_TO_SUSPEND) return false;
    if (this.isSuspended(server, nowMs)) return false;
    health.suspendedUntilMs = nowMs + health.suspensionMs;
    health.suspensionMs = Math.min(MAX_SUSPENSION_MS, health.suspensionMs * 2);
    return true;
  }

  /** Removes the state of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }
}

function recordForRoute(
  { byRoute }: Health,
  route: string,
  failed: number,
  nowMs: number,
): void {
  const share = decayRouteFailures(byRoute.get(route), nowMs);
  const next = share + ROUTE_OUTCOME_WEIGHT * (failed - share);
  byRoute.set(route, { share: next, atMs: nowMs });
}

function hasWorkingRoute({ byRoute }: Health, nowMs: number): boolean {
  return [...byRoute.values()]
    .some((failures) =>
      decayRouteFailures(failures, nowMs) < WORKING_ROUTE_FAILURE_SHARE
    );
}

function decayRouteFailures(
  failures: DecayingShare | undefined,
  nowMs: number,
): number {
  if (failures === undefined) return 0;
  return decayShare(failures, ROUTE_FAILURES_DECAY_MS, nowMs);
}

function decayRejections(
  { rejectedMs, rejectedShare }: Health,
  nowMs: number,
): number {
  const share = { share: rejectedShare, atMs: rejectedMs };
  return decayShare(share, REJECTIONS_DECAY_MS, nowMs);
}

/** Returns what is left of a share that decays to a third within `decayMs`. */
function decayShare(
  { atMs, share }: DecayingShare,
  decayMs: number,
  nowMs: number,
): number {
  return share * Math.exp((atMs - nowMs) / decayMs);
}

function createHealth(): Health {
  return {
    byRoute: new Map(),
    consecutiveFailures: 0,
    suspensionMs: INITIAL_SUSPENSION_MS,
    suspendedUntilMs: 0,
    cooldownUntilMs: 0,
    failureShare: 0,
    rejectedShare: 0,
    rejectedMs: 0,
  };
}
