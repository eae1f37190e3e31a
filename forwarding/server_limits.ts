import type { BackendId } from "../ids/mod.ts";

/** A limit that a server named last, or that it names no more. */
interface HeardLimit {
  /** Calls a second from all instances together; `undefined`: it names none any more. */
  readonly perSecond: number | undefined;
  /** When it said so, on the own clock. */
  readonly heardMs: number;
}

/** What an answer says of its server's limit. */
export interface SaidLimit {
  /** Calls a second from all instances together. Default: it names none. */
  readonly perSecond: number | undefined;
  /** When the call was sent, on the own clock. */
  readonly sentMs: number;
}

/** Which servers take no more than so many calls a second, as they say themselves. */
export class ServerLimits {
  readonly #heard = new Map<BackendId, HeardLimit>();

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
      if (before === undefined) return false;
      // An answer that was on its way as the limit was named says nothing of its end.
      if (sentMs < before.heardMs) return false;
    }
    this.#heard.set(server, { perSecond, heardMs: nowMs });
    return before?.perSecond !== perSecond;
  }

  /** Returns the calls a second that a server takes, or `undefined` where it names no limit. */
  read(server: BackendId): number | undefined {
    return this.#heard.get(server)?.perSecond;
  }

  /** Number of servers that name a limit. */
  get count(): number {
    return [...this.#heard.values()]
      .filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    [...this.#heard.keys()].filter((id) => !servers.has(id))
      .forEach((id) => this.#heard.delete(id));
  }
}
