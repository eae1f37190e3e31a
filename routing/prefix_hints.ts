/** A prompt prefix that an engine is assumed to have cached. */
export interface PrefixHint {
  readonly tokens: number;
  /** Time at which the prefix was last sent to the engine, in milliseconds. */
  readonly seenMs: number;
}

const MAX_HINTS = 4_096;
const HINT_LIFETIME_MS = 120_000;

/**
 * Tracks which prompt prefixes an engine is assumed to have cached, based on this
 * instance's dispatches and the engine's cache events. Events carry a sequence number;
 * after a gap all hints are dropped, since a lost event may have been an eviction.
 */
export class PrefixHints {
  readonly #hints = new Map<string, PrefixHint>();
  #nextSequence: number | undefined;

  /** Number of hints. */
  get size(): number {
    return this.#hints.size;
  }

  /**
   * Records that a prefix was sent to the engine; drops the oldest hint when there are
   * too many.
   */
  record(prefix: string, hint: PrefixHint): void {
    this.#hints.delete(prefix);
    this.#hints.set(prefix, hint);
    if (this.#hints.size <= MAX_HINTS) return;
    const oldest = this.#hints.keys().next().value;
    if (oldest !== undefined) this.#hints.delete(oldest);
  }

  /**
   * Applies a cache event of the engine.
   *
   * @param sequence Sequence number of the event.
   * @param evicted Prefixes that the engine has evicted.
   * @returns Whether the event was in sequence; if not, all hints were dropped.
   */
  applyEvent(sequence: number, evicted: readonly string[]): boolean {
    const isInOrder = this.#nextSequence === undefined ||
      sequence === this.#nextSequence;
    this.#nextSequence = sequence + 1;
    if (!isInOrder) this.#hints.clear();
    else evicted.forEach((prefix) => this.#hints.delete(prefix));
    return isInOrder;
  }

  /** Drops all hints, since the engine may have lost its cache. */
  clear(): void {
    this.#hints.clear();
  }

  /** Returns how many tokens of a prefix the engine is assumed to have cached. */
  readTokens(prefix: string | undefined, nowMs: number): number {
    if (prefix === undefined) return 0;
    const hint = this.#hints.get(prefix);
    if (hint === undefined || nowMs - hint.seenMs > HINT_LIFETIME_MS) return 0;
    return hint.tokens;
  }
}
