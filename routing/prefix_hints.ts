/** What an engine's cache is believed to hold. */
export interface PrefixHint {
  readonly tokens: number;
  readonly seenMs: number;
}

const MAX_HINTS = 4_096;
const HINT_LIFETIME_MS = 120_000;

/**
 * Hints on which prompt prefixes an engine holds: learned from own dispatches
 * and from the engine's cache events. Events carry a sequence number; after a
 * gap all hints are dropped, since one that was lost may have been an eviction.
 */
export class PrefixHints {
  readonly #hints = new Map<string, PrefixHint>();
  #nextEvent: number | undefined;

  /** Number of hints held. */
  get size(): number {
    return this.#hints.size;
  }

  /** Records that a prefix was sent to the engine. */
  record(prefix: string, hint: PrefixHint): void {
    this.#hints.delete(prefix);
    this.#hints.set(prefix, hint);
    if (this.#hints.size <= MAX_HINTS) return;
    const oldest = this.#hints.keys().next().value;
    if (oldest !== undefined) this.#hints.delete(oldest);
  }

  /**
   * Takes a cache event.
   *
   * @param sequence Its number.
   * @param evicted Prefixes that the engine no longer holds.
   * @returns Whether the hints were kept.
   */
  applyEvent(sequence: number, evicted: readonly string[]): boolean {
    const isInOrder = this.#nextEvent === undefined ||
      sequence === this.#nextEvent;
    this.#nextEvent = sequence + 1;
    if (!isInOrder) this.#hints.clear();
    else evicted.forEach((prefix) => this.#hints.delete(prefix));
    return isInOrder;
  }

  /** Drops all hints: the engine was restarted. */
  clear(): void {
    this.#hints.clear();
  }

  /** Returns how many tokens of a prefix the engine is believed to hold. */
  readTokens(prefix: string | undefined, nowMs: number): number {
    if (prefix === undefined) return 0;
    const hint = this.#hints.get(prefix);
    if (hint === undefined || nowMs - hint.seenMs > HINT_LIFETIME_MS) return 0;
    return hint.tokens;
  }
}
