import type { ReportedPrefix } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import type { PromptPart } from "./call_grammar.ts";
import { forgetOthers } from "./forget_others.ts";

/**
 * Parts below this size are not followed, in tokens: reading them again takes a
 * few milliseconds, less than the bookkeeping is worth.
 */
export const LEAST_PART_TOKENS = 256;

/** What an engine says that its memory holds. */
export interface HeldParts {
  readonly parts: readonly PromptPart[];
  /** When the engine that says so started, where it says that too. */
  readonly startedMs: number | undefined;
}

/** A prompt part with its place: parts are cached only behind all before them. */
export interface PlacedPart {
  /** Names this part and all before it. */
  readonly key: string;
  readonly tokens: number;
  /** Whether other calls may begin with it: the last part is the caller's own. */
  readonly isShared: boolean;
}

/**
 * Returns the parts of a prompt that are worth following, each with a key that
 * covers all parts before it.
 *
 * @param parts The prompt from its start.
 */
export function placeParts(
  parts: readonly PromptPart[],
): readonly PlacedPart[] {
  let key = "";
  return parts.map(({ id, tokens }, index) => {
    key = key === "" ? id : `${key}.${id}`;
    return { key, tokens, isShared: index < parts.length - 1 };
  }).filter(({ tokens }) => tokens >= LEAST_PART_TOKENS);
}

/**
 * Returns what an engine's own list says in the form of parts that were sent to
 * it. The list does not tell what stood before a part, so it holds for first
 * parts, by far the largest; they come last, so that they are the last to yield.
 *
 * @param server Whose list.
 * @param held Its parts.
 */
export function toHeldPrefixes(
  server: BackendId,
  held: readonly PromptPart[],
): readonly ReportedPrefix[] {
  return held.filter(({ tokens }) => tokens >= LEAST_PART_TOKENS)
    .sort((a, b) => a.tokens - b.tokens)
    .map(({ id, tokens }) => ({ server, part: id, tokens }));
}

/**
 * Which prompt parts each engine probably holds, from what it was sent. The
 * least recently used parts yield, as they do in an engine.
 */
export class PrefixMemory {
  readonly #byServer = new Map<BackendId, Map<string, number>>();
  readonly #tokens = new Map<BackendId, number>();

  /** Returns how many tokens of a prompt a server need not read. */
  countCached(server: BackendId, parts: readonly PlacedPart[]): number {
    const held = this.#byServer.get(server);
    if (held === undefined) return 0;
    let cached = 0;
    for (const { key, tokens } of parts) {
      if (!held.has(key)) break;
      cached += tokens;
    }
    return cached;
  }

  /**
   * Records that a server reads or uses a part.
   *
   * @param server Where.
   * @param part Which.
   * @param capacityTokens What the server's memory holds.
   */
  record(
    server: BackendId,
    part: Pick<PlacedPart, "key" | "tokens">,
    capacityTokens: number,
  ): void {
    const held = this.#byServer.get(server) ?? new Map<string, number>();
    this.#byServer.set(server, held);
    const before = held.get(part.key) ?? 0;
    held.delete(part.key);
    held.set(part.key, part.tokens);
    let total = (this.#tokens.get(server) ?? 0) + part.tokens - before;
    for (const [key, tokens] of held) {
      if (total <= capacityTokens) break;
      held.delete(key);
      total -= tokens;
    }
    this.#tokens.set(server, total);
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
    forgetOthers(this.#tokens, servers);
  }
}
