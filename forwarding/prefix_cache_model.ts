import { extendPrefixKey, type ReportedPrefix } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import type { PromptPart } from "./call_header_codec.ts";
import { forgetOthers } from "./forget_others.ts";

/**
 * Minimum size of a tracked part, in tokens. The prefill of a smaller one takes a few
 * milliseconds, which is not worth the bookkeeping.
 */
export const MIN_PART_TOKENS = 256;

/**
 * Maximum number of parts that are tracked for all servers together. Capacities in tokens do not
 * bound it: other instances report parts of any size.
 */
const MAX_TRACKED_PARTS = 65_536;

/** Prompt parts that an engine reports to have cached. */
export interface CachedParts {
  readonly parts: readonly PromptPart[];
  /** When the engine started, where it reports that too. */
  readonly startedMs: number | undefined;
}

/** A prompt part with its position: a part is cached only together with all parts before it. */
export interface KeyedPart {
  /** Identifies this part and all parts before it. */
  readonly key: string;
  readonly tokens: number;
  /** Whether other calls may share it. The last part of a prompt is the caller's own. */
  readonly isShared: boolean;
}

/**
 * Returns the parts of a prompt that are large enough to be tracked, each with a key that
 * covers all parts before it.
 *
 * @param parts All parts of the prompt, in order.
 */
export function toKeyedParts(
  parts: readonly PromptPart[],
): readonly KeyedPart[] {
  let key = "";
  let untracked: string[] = [];
  return parts.flatMap(({ id, tokens }, index) => {
    untracked.push(id);
    if (tokens < MIN_PART_TOKENS) return [];
    key = extendPrefixKey(key, untracked);
    untracked = [];
    return [{ key, tokens, isShared: index < parts.length - 1 }];
  });
}

/**
 * Returns the parts that an engine reports to have cached, in the form of parts that were
 * sent to it. The report doesn't tell which parts come before one, so it is right only for
 * first parts, which are by far the largest. They come last, so that they are the last to
 * be evicted.
 *
 * @param server The engine.
 * @param reported The parts that it reports.
 */
export function toCachedPrefixes(
  server: BackendId,
  reported: readonly PromptPart[],
): readonly ReportedPrefix[] {
  return reported.filter(({ tokens }) => tokens >= MIN_PART_TOKENS)
    .sort((a, b) => a.tokens - b.tokens)
    .map(({ id, tokens }) => ({
      server,
      part: extendPrefixKey("", [id]),
      tokens,
    }));
}

/**
 * Estimates which prompt parts each engine has cached, from what it was sent. The least
 * recently used parts are evicted first, as in an engine.
 */
export class PrefixCacheModel {
  readonly #byServer = new Map<BackendId, Map<string, number>>();
  readonly #tokens = new Map<BackendId, number>();

  /** Returns how many tokens of a prompt a server has cached and needn't prefill. */
  countCachedTokens(server: BackendId, parts: readonly KeyedPart[]): number {
    const cache = this.#byServer.get(server);
    if (cache === undefined) return 0;
    let cached = 0;
    for (const { key, tokens } of parts) {
      if (!cache.has(key)) break;
      cached += tokens;
    }
    return cached;
  }

  /**
   * Records that a server prefills a part or uses it from its cache.
   *
   * @param server The server.
   * @param part The part.
   * @param capacityTokens Capacity of the server's cache, in tokens.
   */
  record(
    server: BackendId,
    part: Pick<KeyedPart, "key" | "tokens">,
    capacityTokens: number,
  ): void {
    const cache = this.#byServer.get(server) ?? this.#addServer(server);
    const before = cache.get(part.key) ?? 0;
    cache.delete(part.key);
    cache.set(part.key, part.tokens);
    const total = (this.#tokens.get(server) ?? 0) + part.tokens - before;
    this.#tokens.set(server, total);
    this.#evict(server, capacityTokens);
  }

  /** Removes the parts of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
    forgetOthers(this.#tokens, servers);
  }

  /** Adds a server; the others keep only their smaller share of the tracked parts. */
  #addServer(server: BackendId): Map<string, number> {
    const cache = new Map<string, number>();
    this.#byServer.set(server, cache);
    this.#byServer.forEach((_, each) => this.#evict(each));
    return cache;
  }

  /** Evicts the parts of a server that were used least recently, until the others fit. */
  #evict(server: BackendId, capacityTokens = Number.POSITIVE_INFINITY): void {
    const cache = this.#byServer.get(server)!;
    const maxParts = Math.max(1, MAX_TRACKED_PARTS / this.#byServer.size);
    let total = this.#tokens.get(server) ?? 0;
    for (const [key, tokens] of cache) {
      if (total <= capacityTokens && cache.size <= maxParts) break;
      cache.delete(key);
      total -= tokens;
    }
    this.#tokens.set(server, total);
  }
}
