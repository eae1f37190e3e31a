import type { ReportedLimit } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/**
 * How long the end of a limit is retained, in milliseconds. It is reported for that time,
 * and takes precedence over older reports of the limit. An instance that is partitioned is
 * counted as a member for as long.
 */
const ENDED_RETENTION_MS = 30_000;
/** Maximum number of limits in one report, so that the report fits into one packet. */
const MAX_REPORTED_LIMITS = 16;

/** Where the known limit of a server comes from. */
export type LimitSource =
  /** The server advertised it in an answer to this instance. */
  | "own"
  /** Another instance of the region reported what the server advertised to it. */
  | "member"
  /** An aggregator reported it, from the reports of others. */
  | "summary";

/** The limit that a server advertised last, or the end of its limit. */
interface KnownLimit {
  /** Calls a second from all instances together; `undefined` where the server's limit has ended. */
  readonly perSecond: number | undefined;
  /** When the server advertised that, on this instance's clock. */
  readonly advertisedMs: number;
  readonly source: LimitSource;
}

/** The limit that a server advertises in an answer. */
export interface AdvertisedLimit {
  /** Calls a second from all instances together; `undefined` where the answer names no limit. */
  readonly perSecond: number | undefined;
  /** When the call was sent, on this instance's clock. */
  readonly sentMs: number;
}

/**
 * Tracks the rate limits that servers advertise: the latest limit of each server,
 * whichever instance received it.
 *
 * A limit is reported only by the instance that received it from the server and by
 * aggregators, never by an instance that knows it from a report. Otherwise an old limit
 * that is passed round would look new again.
 */
export class ServerLimits {
  readonly #known = new Map<BackendId, KnownLimit>();
  #reportOffset = 0;

  /** Number of servers that advertise a limit. */
  get count(): number {
    return [...this.#known.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** Returns the limit of a server in calls a second, or `undefined` where it advertises none. */
  read(server: BackendId): number | undefined {
    return this.#known.get(server)?.perSecond;
  }

  /**
   * Records what a server advertises in an answer to a call that it ran, or a limit that
   * it names when it rejects a call.
   *
   * @param server The server.
   * @param limit What it advertises.
   * @param nowMs Time now.
   * @returns Whether the limit has changed.
   */
  recordAdvertised(
    server: BackendId,
    { perSecond, sentMs }: AdvertisedLimit,
    nowMs: number,
  ): boolean {
    const before = this.#known.get(server);
    if (perSecond === undefined) {
      if (before?.perSecond === undefined) return false;
      // An answer to a call sent before the limit was advertised is no evidence of its end.
      if (sentMs < before.advertisedMs) return false;
    }
    this.#known.set(server, { perSecond, advertisedMs: nowMs, source: "own" });
    return before?.perSecond !== perSecond;
  }

  /**
   * Records the limits in a report of another instance, where they are later than the
   * known ones.
   *
   * @param limits Rows of the report.
   * @param source Kind of the report.
   * @param nowMs Time now.
   * @returns The rows that changed a limit.
   */
  recordReported(
    limits: readonly ReportedLimit[],
    source: Exclude<LimitSource, "own">,
    nowMs: number,
  ): readonly ReportedLimit[] {
    const newer = limits.filter(({ ageMs, server }) =>
      nowMs - ageMs > (this.#known.get(server)?.advertisedMs ?? -Infinity)
    );
    const changed = newer.filter(({ perSecond, server }) =>
      perSecond !== this.read(server)
    );
    newer.forEach(({ ageMs, perSecond, server }) =>
      this.#known.set(server, {
        perSecond,
        advertisedMs: nowMs - ageMs,
        source,
      })
    );
    return changed;
  }

  /**
   * Returns the limits for the next report. Where there are more than fit into one
   * report, successive reports take them in rotation.
   *
   * @param scope Whether to include only limits that this instance received from servers,
   * or those that any instance of its region received.
   * @param nowMs Time now.
   */
  listReported(
    scope: "instance" | "region",
    nowMs: number,
  ): readonly ReportedLimit[] {
    if (this.#known.size === 0) return [];
    this.#deleteEnded(nowMs);
    const rows = [...this.#known]
      .filter(([, { source }]) =>
        source === "own" || scope === "region" && source === "member"
      )
      .map(([server, { perSecond, advertisedMs }]) => ({
        server,
        perSecond,
        ageMs: nowMs - advertisedMs,
      }));
    if (rows.length <= MAX_REPORTED_LIMITS) return rows;
    const first = this.#reportOffset % rows.length;
    this.#reportOffset += MAX_REPORTED_LIMITS;
    return [...rows.slice(first), ...rows.slice(0, first)]
      .slice(0, MAX_REPORTED_LIMITS);
  }

  /** Removes the limits of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#known, servers);
  }

  #deleteEnded(nowMs: number): void {
    [...this.#known].filter(([, { perSecond, advertisedMs }]) =>
      perSecond === undefined && nowMs - advertisedMs > ENDED_RETENTION_MS
    ).forEach(([server]) => this.#known.delete(server));
  }
}
