import type { ReportedLimit } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/**
 * How long the end of a limit is told and held against older words, in milliseconds:
 * as long as an instance that was cut off is still counted.
 */
const ENDED_KEPT_MS = 30_000;
/** Limits that one report names at the most: it stays within one packet. */
const MAX_REPORTED = 16;

/** Who said a word of a server. */
export type LimitSource =
  /** The server itself, in an answer to this instance. */
  | "own"
  /** Another instance of the region, of what the server said to it. */
  | "member"
  /** An instance that sums up for others. */
  | "summary";

/** A limit that a server named last, or that it names no more. */
interface HeardLimit {
  /** Calls a second from all instances together; `undefined`: it names none any more. */
  readonly perSecond: number | undefined;
  /** When the server said so, on the own clock. */
  readonly saidMs: number;
  readonly source: LimitSource;
}

/** What an answer says of its server's limit. */
export interface SaidLimit {
  /** Calls a second from all instances together. Default: it names none. */
  readonly perSecond: number | undefined;
  /** When the call was sent, on the own clock. */
  readonly sentMs: number;
}

/**
 * Which servers take no more than so many calls a second, as they say themselves: the
 * last word of each, whichever instance it was said to. A word is told by the instance
 * that heard it and by those that sum up, never by one that was told of it: an old word
 * that goes round would come to look new.
 */
export class ServerLimits {
  readonly #heard = new Map<BackendId, HeardLimit>();
  #turn = 0;

  /** Number of servers that name a limit. */
  get count(): number {
    return [...this.#heard.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** Returns the calls a second that a server takes, or `undefined` where it names no limit. */
  read(server: BackendId): number | undefined {
    return this.#heard.get(server)?.perSecond;
  }

  /**
   * Takes what a server says in an answer to a call that it ran, or a limit that it
   * names as it turns one away.
   *
   * @param server Which.
   * @param said Its words.
   * @param nowMs Time now.
   * @returns Whether that is news.
   */
  hear(
    server: BackendId,
    { perSecond, sentMs }: SaidLimit,
    nowMs: number,
  ): boolean {
    const before = this.#heard.get(server);
    if (perSecond === undefined) {
      if (before?.perSecond === undefined) return false;
      // An answer that was on its way as the limit was named says nothing of its end.
      if (sentMs < before.saidMs) return false;
    }
    this.#heard.set(server, { perSecond, saidMs: nowMs, source: "own" });
    return before?.perSecond !== perSecond;
  }

  /**
   * Takes what another instance tells.
   *
   * @param limits Its rows.
   * @param source What it tells of.
   * @param nowMs Time now.
   * @returns Those that are news.
   */
  learn(
    limits: readonly ReportedLimit[],
    source: Exclude<LimitSource, "own">,
    nowMs: number,
  ): readonly ReportedLimit[] {
    const later = limits.filter(({ ageMs, server }) =>
      nowMs - ageMs > (this.#heard.get(server)?.saidMs ?? -Infinity)
    );
    const news = later.filter(({ perSecond, server }) =>
      perSecond !== this.read(server)
    );
    later.forEach(({ ageMs, perSecond, server }) =>
      this.#heard.set(server, { perSecond, saidMs: nowMs - ageMs, source })
    );
    return news;
  }

  /**
   * Returns what a report tells: some of it in turn, where there is much.
   *
   * @param scope What was said to this instance, or to any of its region.
   * @param nowMs Time now.
   */
  listReported(
    scope: "instance" | "region",
    nowMs: number,
  ): readonly ReportedLimit[] {
    if (this.#heard.size === 0) return [];
    this.#forgetEnded(nowMs);
    const rows = [...this.#heard]
      .filter(([, { source }]) =>
        source === "own" || scope === "region" && source === "member"
      )
      .map(([server, { perSecond, saidMs }]) => ({
        server,
        perSecond,
        ageMs: nowMs - saidMs,
      }));
    if (rows.length <= MAX_REPORTED) return rows;
    const first = this.#turn % rows.length;
    this.#turn += MAX_REPORTED;
    return [...rows.slice(first), ...rows.slice(0, first)]
      .slice(0, MAX_REPORTED);
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#heard, servers);
  }

  #forgetEnded(nowMs: number): void {
    [...this.#heard].filter(([, { perSecond, saidMs }]) =>
      perSecond === undefined && nowMs - saidMs > ENDED_KEPT_MS
    ).forEach(([server]) => this.#heard.delete(server));
  }
}
