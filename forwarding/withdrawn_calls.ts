import type { BackendId } from "../ids/mod.ts";

/** Time for which a withdrawn call is remembered, in milliseconds: longer than calls last. */
const MEMORY_MS = 15_000;
/** Maximum number of withdrawn calls that are remembered; the oldest ones are forgotten first. */
const MAX_CALLS = 1_000;

interface WithdrawnCall {
  readonly servers: readonly BackendId[];
  readonly untilMs: number;
}

/**
 * Remembers which servers had the calls that other instances handed over to this one and then
 * withdrew. An instance that withdraws a call learns of no server. If it sends the call here
 * again, the same server gets it, so that no further one is used.
 */
export class WithdrawnCalls {
  readonly #byKey = new Map<string, WithdrawnCall>();

  /**
   * Records a call that was withdrawn.
   *
   * @param key Identifies the call and the instance that sent it.
   * @param servers Servers that this instance sent the call to.
   * @param nowMs Time now.
   */
  record(key: string, servers: readonly BackendId[], nowMs: number): void {
    this.#byKey.delete(key);
    this.#byKey.set(key, { servers, untilMs: nowMs + MEMORY_MS });
    // The calls are in the order in which they are to be forgotten.
    for (const [oldest, { untilMs }] of this.#byKey) {
      if (untilMs > nowMs && this.#byKey.size <= MAX_CALLS) return;
      this.#byKey.delete(oldest);
    }
  }

  /** Returns the servers that had a call, or `undefined` if it is not known. */
  find(key: string, nowMs: number): readonly BackendId[] | undefined {
    const call = this.#byKey.get(key);
    return call === undefined || call.untilMs <= nowMs
      ? undefined
      : call.servers;
  }
}
