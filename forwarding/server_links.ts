import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Interval between probes of a server that cannot be reached, in milliseconds. */
const PROBE_INTERVAL_MS = 500;
/**
 * Time within which a failed connection costs its call nothing, in milliseconds. A port
 * without a listener refuses within a round trip; a network that drops packets takes as long
 * as the timeout.
 */
const QUICK_FAILURE_MS = 200;

/** A failed attempt to open a connection. */
export interface ConnectFailure {
  /** How long the attempt took, in milliseconds. */
  readonly tookMs: number;
  readonly nowMs: number;
}

interface Link {
  /** Whether no connection could be opened lately. */
  isUnreachable: boolean;
  /** Whether something else suggests so. */
  isSuspect: boolean;
  /** Whether the last failure was quick. */
  isQuick: boolean;
  nextProbeMs: number;
}

/**
 * Tracks to which servers this instance can open no connection. Bytes on open connections
 * are no evidence of the contrary: a network may refuse only new ones. Probes show when a
 * server can be reached again, so that no call is spent on it.
 */
export class ServerLinks {
  readonly #byServer = new Map<BackendId, Link>();

  /** Number of servers that cannot be reached. */
  get unreachableCount(): number {
    return [...this.#byServer.values()]
      .filter(({ isUnreachable }) => isUnreachable).length;
  }

  /** Returns whether no connection to a server can be opened. */
  isUnreachable(server: BackendId): boolean {
    return this.#byServer.get(server)?.isUnreachable ?? false;
  }

  /** Returns whether a server cannot be reached, and a call that is sent to it waits to learn that. */
  isHanging(server: BackendId): boolean {
    return this.isUnreachable(server) && !this.#byServer.get(server)!.isQuick;
  }

  /** Has a server probed soon, as something else suggests that it cannot be reached. */
  suspect(server: BackendId, nowMs: number): void {
    const known = this.#byServer.get(server);
    this.#byServer.set(server, {
      isUnreachable: false,
      isQuick: true,
      nextProbeMs: nowMs,
      ...known,
      isSuspect: true,
    });
  }

  /**
   * Records that no connection to a server could be opened.
   *
   * @returns Whether it could be reached before, as far as was known.
   */
  recordFailure(
    server: BackendId,
    { nowMs, tookMs }: ConnectFailure,
  ): boolean {
    const known = this.#byServer.get(server);
    this.#byServer.set(server, {
      isUnreachable: true,
      isSuspect: true,
      isQuick: tookMs < QUICK_FAILURE_MS,
      nextProbeMs: known?.nextProbeMs ?? nowMs,
    });
    return !(known?.isUnreachable ?? false);
  }

  /**
   * Records that a connection to a server could be opened.
   *
   * @returns Whether it could not be reached before.
   */
  recordReached(server: BackendId): boolean {
    const link = this.#byServer.get(server);
    if (link === undefined) return false;
    const wasUnreachable = link.isUnreachable;
    // The link is kept until its next probe is due, so that probes of a server that goes on
    // looking unreachable do not follow each other more closely.
    link.isUnreachable = false;
    link.isSuspect = false;
    return wasUnreachable;
  }

  /** Returns the servers whose probes are due, and schedules their next ones. */
  takeDue(nowMs: number): readonly BackendId[] {
    const due = [...this.#byServer]
      .filter(([, { nextProbeMs }]) => nextProbeMs <= nowMs);
    due.forEach(([server, link]) => {
      link.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
      if (!link.isSuspect) this.#byServer.delete(server);
    });
    return due.filter(([, { isSuspect }]) => isSuspect)
      .map(([server]) => server);
  }

  /** Removes the state of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }
}
