import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import type { CallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { HOLD_MS, type ReportedEnds } from "../quarantine/mod.ts";
import type { RevisionedStore } from "../store/mod.ts";

/**
 * Longest wait before an entry is written, in milliseconds: all instances that saw a
 * server end write the same, and whoever is later finds it there.
 */
const LONGEST_WAIT_MS = 400;
/** Pause after a failed write, in milliseconds, and how often it is tried. */
const RETRY_PAUSE_MS = 2_000;
const MAX_TRIES = 10;

/** What entries are kept with. */
export interface RefusedCallEntriesParts {
  readonly store: RevisionedStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Returns the key of a call's entry. */
  readonly toKey: (call: CallFingerprint) => string;
  /** Revision at which a key was last seen in the store; 0: it is not there. */
  readonly readRevision: (key: string) => number;
  /** Ends all that is under way. */
  readonly signal: AbortSignal;
}

/** What the entry of a refused call says, as JSON. */
export interface RefusedCallValue {
  readonly servers: readonly string[];
  /** When the last of them ended, in milliseconds since the epoch. */
  readonly endedMs: number;
}

/**
 * Keeps refused calls in the store for as long as they are refused: instances tell
 * each other of them, but all may end at once, and who starts then knows nothing.
 */
export class RefusedCallEntries {
  readonly #parts: RefusedCallEntriesParts;

  /** @param parts Store and keys. */
  constructor(parts: RefusedCallEntriesParts) {
    this.#parts = parts;
  }

  /**
   * Writes the entry of a call, unless it is there already.
   *
   * @param ends The call and the servers that ended under it.
   */
  async keep(ends: ReportedEnds): Promise<void> {
    const { clock, logger, random, signal } = this.#parts;
    const endedMs = clock.nowMs() - ends.ageMs;
    await waitFor(clock, LONGEST_WAIT_MS * random.nextFloat(), signal);
    for (let tries = 0; tries < MAX_TRIES && !signal.aborted; tries++) {
      const failure = await this.#write(ends, endedMs);
      if (failure === undefined) return;
      logger.warn("refused call not kept", {
        content: ends.call,
        reason: failure,
      });
      await waitFor(clock, RETRY_PAUSE_MS, signal);
    }
  }

  /** @returns What went wrong, if anything did. */
  async #write(
    { call, servers }: ReportedEnds,
    endedMs: number,
  ): Promise<string | undefined> {
    const { clock, readRevision, signal, store, toKey } = this.#parts;
    const key = toKey(call);
    const leftMs = Math.ceil(endedMs + HOLD_MS - clock.nowMs());
    if (readRevision(key) > 0 || leftMs <= 0) return undefined;
    const options = { callClass: "lease", signal } as const;
    const leaseId = await store.grantLease(leftMs, options);
    if (leaseId.isErr()) return leaseId.error.message;
    const value: RefusedCallValue = { servers, endedMs: Math.round(endedMs) };
    const written = await store.swap({
      key,
      expectedRevision: 0,
      value: JSON.stringify(value),
      leaseId: leaseId.value,
    }, options);
    return written.isErr() ? written.error.message : undefined;
  }
}
