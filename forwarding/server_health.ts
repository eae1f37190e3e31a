import type { BackendId } from "../ids/mod.ts";

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

interface Health {
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
   * would be chosen before those that work.
   */
  readFailureShare(server: BackendId, nowMs: number): number {
    const health = this.#byServer.get(server);
    if (health === undefined) return 0;
    return Math.min(1, health.failureShare + fadeRejections(health, nowMs));
  }

  /**
   * Learns from the end of a call.
   *
   * @param server Where.
   * @param outcome How it ended.
   * @param nowMs Time now.
   * @returns Whether the server is left out from now on.
   */
  record(server: BackendId, outcome: ServerOutcome, nowMs: number): boolean {
    const health = this.#byServer.get(server) ?? createHealth();
    this.#byServer.set(server, health);
    const rejected = outcome === "rejected" ? 1 : 0;
    const rejectedShare = fadeRejections(health, nowMs);
    health.rejectedShare = rejectedShare +
      OUTCOME_WEIGHT * (rejected - rejectedShare);
    health.rejectedMs = nowMs;
    if (outcome === "rejected") return false;
    const failed = outcome === "answered" ? 0 : 1;
    health.failureShare += OUTCOME_WEIGHT * (failed - health.failureShare);
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
    [...this.#byServer.keys()].filter((id) => !servers.has(id))
      .forEach((id) => this.#byServer.delete(id));
  }
}

function fadeRejections(
  { rejectedMs, rejectedShare }: Health,
  nowMs: number,
): number {
  return rejectedShare * Math.exp((rejectedMs - nowMs) / REJECTIONS_FADE_MS);
}

function createHealth(): Health {
  return {
    failuresInRow: 0,
    pauseMs: FIRST_PAUSE_MS,
    suspendedUntilMs: 0,
    restsUntilMs: 0,
    failureShare: 0,
    rejectedShare: 0,
    rejectedMs: 0,
  };
}
