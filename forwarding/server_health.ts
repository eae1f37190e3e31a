import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Failures in a row after which a server is left out for a while. */
const FAILURES_TO_SUSPEND = 2;
/** First pause, in milliseconds; it doubles up to the longest. */
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 4_000;
/**
 * Time in which the share of calls that a server turned away falls to a third, in
 * milliseconds. Room comes back within a second or two, and only a call that is sent
 * there shows it.
 */
const REJECTIONS_FADE_MS = 1_000;
/** Part that a new outcome has in the running share of failures. */
const OUTCOME_WEIGHT = 0.08;
/**
 * The same for the calls of one route: an instance among many sees few of them at a
 * server, and a failure there is dearer than another server.
 */
const ROUTE_OUTCOME_WEIGHT = 0.3;
/**
 * Time in which the share of a route's failures falls to a third, in milliseconds. Only
 * a call that is sent there shows that it goes well again.
 */
const ROUTE_FAILURES_FADE_MS = 15_000;

/** Share of failures below which a route's calls go well at a server. */
const GOOD_SHARE = 0.1;

/** Running share of calls, as of then. */
interface ShareThen {
  readonly share: number;
  readonly atMs: number;
}

interface Health {
  readonly byRoute: Map<string, ShareThen>;
  failuresInRow: number;
  pauseMs: number;
  suspendedUntilMs: number;
  /** Until when it wants nothing. */
  restsUntilMs: number;
  failureShare: number;
  /** Running share of calls that it turned away, as of then. */
  rejectedShare: number;
  rejectedMs: number;
}

/** How a call ended at a server, as far as it tells of the server. */
export type ServerOutcome =
  | "answered"
  /** The server answered with an error of its own. */
  | "error"
  /** The server turned the call away, without running it. */
  | "rejected"
  /** No connection, a broken one, or bytes that are no answer. */
  | "no-answer";

/** How a call of a route ended at a server. */
export interface ToldOutcome {
  readonly outcome: ServerOutcome;
  /** Name of the route. */
  readonly route: string;
}

/**
 * Which servers fail, from the outcomes of calls. A server that does not answer
 * twice in a row is left out for a pause that doubles; one that answers with
 * errors more often than its like is preferred less. One that asks for rest gets it,
 * whatever it answers meanwhile: it knows better than its answers show.
 */
export class ServerHealth {
  readonly #byServer = new Map<BackendId, Health>();

  /** Whether a server is left out at present. */
  isSuspended(server: BackendId, nowMs: number): boolean {
    return nowMs < (this.#byServer.get(server)?.suspendedUntilMs ?? 0);
  }

  /** Leaves a server out until a time. */
  suspend(server: BackendId, untilMs: number): void {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    health.suspendedUntilMs = Math.max(health.suspendedUntilMs, untilMs);
  }

  /**
   * Lets a server rest, as it asked.
   *
   * @param server Which.
   * @param untilMs Until when it wants nothing.
   * @param nowMs Time now.
   * @returns Whether it did not rest before.
   */
  rest(server: BackendId, untilMs: number, nowMs: number): boolean {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    const isNews = health.restsUntilMs <= nowMs;
    health.restsUntilMs = Math.max(health.restsUntilMs, untilMs);
    return isNews;
  }

  /** Returns until when a server wants nothing, on the own clock; 0: it never asked. */
  readRestsUntilMs(server: BackendId): number {
    return this.#byServer.get(server)?.restsUntilMs ?? 0;
  }

  /**
   * Returns the running share of calls that failed at a server or were turned away
   * there, from 0 to 1. Who turns calls away at once has no load: without this, it
   * would be chosen before those that work. A server may fail the calls of one route
   * only: they count for themselves.
   *
   * @param server Which.
   * @param route Name of the route.
   * @param nowMs Time now.
   */
  readFailureShare(server: BackendId, route: string, nowMs: number): number {
    const health = this.#byServer.get(server);
    if (health === undefined) return 0;
    const failures = Math.max(
      health.failureShare,
      fadeRouteFailures(health.byRoute.get(route), nowMs),
    );
    return Math.min(1, failures + fadeRejections(health, nowMs));
  }

  /**
   * Learns from the end of a call.
   *
   * @param server Where.
   * @param told How it ended, and the name of its route.
   * @param nowMs Time now.
   * @returns Whether the server is left out from now on.
   */
  record(
    server: BackendId,
    { outcome, route }: ToldOutcome,
    nowMs: number,
  ): boolean {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    const rejected = outcome === "rejected" ? 1 : 0;
    const rejectedShare = fadeRejections(health, nowMs);
    health.rejectedShare = rejectedShare +
      OUTCOME_WEIGHT * (rejected - rejectedShare);
    health.rejectedMs = nowMs;
    if (outcome === "rejected") return false;
    const failed = outcome === "answered" ? 0 : 1;
    // What a server does not answer at all says nothing of the route.
    if (outcome !== "no-answer") recordAtRoute(health, route, failed, nowMs);
    // A route that fails while others go well says nothing of the server.
    const isOfRoute = outcome === "error" && hasGoodRoute(health, nowMs);
    if (!isOfRoute) {
      health.failureShare += OUTCOME_WEIGHT * (failed - health.failureShare);
    }
    if (outcome !== "no-answer") {
      health.failuresInRow = 0;
      health.pauseMs = FIRST_PAUSE_MS;
      health.suspendedUntilMs = 0;
      return false;
    }
    health.failuresInRow++;
    if (health.failuresInRow < FAILURES_TO_SUSPEND) return false;
    if (this.isSuspended(server, nowMs)) return false;
    health.suspendedUntilMs = nowMs + health.pauseMs;
    health.pauseMs = Math.min(LONGEST_PAUSE_MS, health.pauseMs * 2);
    return true;
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }
}

function recordAtRoute(
  { byRoute }: Health,
  route: string,
  failed: number,
  nowMs: number,
): void {
  const share = fadeRouteFailures(byRoute.get(route), nowMs);
  const next = share + ROUTE_OUTCOME_WEIGHT * (failed - share);
  byRoute.set(route, { share: next, atMs: nowMs });
}

function hasGoodRoute({ byRoute }: Health, nowMs: number): boolean {
  return [...byRoute.values()]
    .some((failures) => fadeRouteFailures(failures, nowMs) < GOOD_SHARE);
}

function fadeRouteFailures(
  failures: ShareThen | undefined,
  nowMs: number,
): number {
  if (failures === undefined) return 0;
  return fadeShare(failures, ROUTE_FAILURES_FADE_MS, nowMs);
}

function fadeRejections(
  { rejectedMs, rejectedShare }: Health,
  nowMs: number,
): number {
  const share = { share: rejectedShare, atMs: rejectedMs };
  return fadeShare(share, REJECTIONS_FADE_MS, nowMs);
}

/** Returns what is left of a share that falls to a third in a time, in milliseconds. */
function fadeShare(
  { atMs, share }: ShareThen,
  fadeMs: number,
  nowMs: number,
): number {
  return share * Math.exp((atMs - nowMs) / fadeMs);
}

function createHealth(): Health {
  return {
    byRoute: new Map(),
    failuresInRow: 0,
    pauseMs: FIRST_PAUSE_MS,
    suspendedUntilMs: 0,
    restsUntilMs: 0,
    failureShare: 0,
    rejectedShare: 0,
    rejectedMs: 0,
  };
}
