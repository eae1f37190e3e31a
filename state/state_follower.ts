import { type Random, waitFor } from "../clock/mod.ts";
import type { KnownState } from "../fleet/mod.ts";
import type {
  RevisionedStore,
  StoreEntry,
  StorePosition,
} from "../store/mod.ts";
import { mayReplace } from "./merge_state.ts";
import { LAPSED_GRACE_MS } from "./server_entries.ts";
import { StateInForce, type StateInForceParts } from "./state_in_force.ts";
import type { StateCopy, StateSource } from "./state_source.ts";

/**
 * How long one watch waits at the store at the most, in milliseconds. A lost
 * answer is noticed only when the wait and the call's timeout (1.5 s) are over.
 * The instances that hear of the store from this one wait as long for others to
 * step in, and must apply a configuration within the users' 4 s.
 */
const WATCH_WAIT_MS = 1_500;
/**
 * Part of the wait that is chosen at random, so that instances whose watches
 * began with the same event do not all wait for a lost answer equally long.
 */
const WATCH_WAIT_JITTER = 0.25;
/** Pause after a failed call, in milliseconds; it doubles, is jittered, and has an upper bound. */
const FIRST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 1_000;
/** An outage counts for the grace until so long after its end, in milliseconds. */
const AFTER_OUTAGE_MS = 3_000;
/**
 * Time between the answers of watches, in milliseconds, once changes follow each
 * other: servers that warm up write once a second each, and each answer is a paid
 * call. Those that come later within it share one answer.
 */
const GATHER_MS = 200;
/** How far answers may run ahead of that pace, in milliseconds: ten changes after a quiet time are taken at once. */
const GATHER_BURST_MS = 2_000;
/** Pause between looks whether this instance has to follow the store, in milliseconds: one report. */
const ROLE_CHECK_MS = 150;
/**
 * How long an instance that the store did not answer, and that no longer asks it,
 * says so, in milliseconds. Then it may stand in again for one that follows.
 */
const STORE_LOST_MS = 10_000;

/** What a follower is created from. */
export interface StateFollowerParts extends StateInForceParts {
  readonly store: Pick<RevisionedStore, "readSnapshot" | "awaitChanges">;
  readonly random: Random;
  /** Prefix of all keys that matter. */
  readonly prefix: string;
  /** Whether this instance follows the store, and does not leave it to peers. Default: always. */
  readonly isRelay?: () => boolean;
}

/**
 * Follows the documents in the store and puts them in force: configuration,
 * servers, evacuations. Where the store does not answer, the last known state
 * stays in force, and copies of peers that know more are taken.
 */
export class StateFollower implements StateSource {
  readonly #parts: StateFollowerParts;
  readonly #inForce: StateInForce;
  /** Time up to which the pace of answers is used up. */
  #pacedUntilMs = 0;
  #isReachable = false;
  #lastTroubleMs = Number.NEGATIVE_INFINITY;

  /** @param parts Store, decoder and what changes go to. */
  constructor(parts: StateFollowerParts) {
    this.#parts = parts;
    this.#inForce = new StateInForce(parts);
  }

  /** How much of the store is known. */
  get known(): KnownState {
    return {
      configurationVersion: this.#inForce.configurationVersion,
      store: this.#inForce.position,
      isStoreLost: this.#isStoreLost(),
    };
  }

  /** Whether a configuration is in force. */
  get isLoaded(): boolean {
    return this.#inForce.configurationVersion > 0;
  }

  /** Whether the store answered the last call. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Addresses of instances that have an entry in the store. */
  get instanceAddresses(): readonly string[] {
    return this.#inForce.instanceAddresses;
  }

  /** Returns the entry of a key as last seen. */
  readEntry(key: string): StoreEntry | undefined {
    return this.#inForce.readEntry(key);
  }

  /**
   * Returns a copy for a peer.
   *
   * @param after Up to where the peer knows all.
   */
  createCopy(after: StorePosition): StateCopy {
    return this.#inForce.createCopy(after, this.#isAfterOutage());
  }

  /**
   * Takes the copy of a peer that knows more.
   *
   * @returns Whether anything of it was newer.
   */
  applyCopy(copy: StateCopy): boolean {
    this.#noteEra(copy);
    return this.#inForce.applyCopy(copy);
  }

  /** Follows the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let afterRevision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
      if (!this.#mustFollow()) {
        await waitFor(this.#parts.clock, ROLE_CHECK_MS, signal);
        afterRevision = this.#inForce.position.revision;
        failures = 0;
        continue;
      }
      const next = afterRevision === undefined
        ? await this.#readAll(signal)
        : await this.#awaitChanges(afterRevision, signal);
      if (signal.aborted) return;
      if (next !== "failed") {
        failures = 0;
        afterRevision = next;
        continue;
      }
      // A watch that failed goes on from its revision: the store keeps some history.
      await this.#pause(failures++, signal);
    }
  }

  /** Drops what did not come back after an outage, or was not written again. */
  sweep(): void {
    this.#inForce.sweep();
  }

  async #readAll(signal: AbortSignal): Promise<number | "failed"> {
    const { prefix, store } = this.#parts;
    const snapshot = await store.readSnapshot(prefix, { signal });
    if (snapshot.isErr()) return this.#noteFailure(snapshot.error.message);
    const wasInTrouble = this.#isAfterOutage();
    this.#noteSuccess();
    this.#noteEra(snapshot.value);
    if (mayReplace(this.#inForce.position, snapshot.value)) {
      const graceMs = wasInTrouble ? LAPSED_GRACE_MS : 0;
      this.#inForce.applySnapshot(snapshot.value, graceMs);
    } else this.#logOlder(snapshot.value);
    return snapshot.value.revision;
  }

  async #awaitChanges(
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<number | undefined | "failed"> {
    const { logger, prefix, store } = this.#parts;
    const changes = await store.awaitChanges({
      prefix,
      afterRevision,
      waitMs: this.#pickWaitMs(),
    }, { signal });
    if (changes.isErr()) return this.#noteFailure(changes.error.message);
    this.#noteSuccess();
    const { era } = changes.value;
    // Whatever it says of its revisions, they are not those that it was asked for.
    if (era > this.#inForce.position.era) return undefined;
    if (changes.value.kind === "compacted") {
      logger.info("store dropped its history", { afterRevision, era });
      this.#lastTroubleMs = this.#parts.clock.nowMs();
      return undefined;
    }
    const { events, revision } = changes.value;
    // An answer that was on its way when a peer told of the next era.
    if (era < this.#inForce.position.era) return revision;
    this.#inForce.applyEvents(events, revision, this.#isAfterOutage());
    if (events.length > 0) await this.#gatherMore(signal);
    return this.#inForce.position.revision;
  }

  /** Before the first configuration each instance reads the store, whoever else does. */
  #mustFollow(): boolean {
    return !this.isLoaded || (this.#parts.isRelay?.() ?? true);
  }

  async #gatherMore(signal: AbortSignal): Promise<void> {
    const { clock } = this.#parts;
    const nowMs = clock.nowMs();
    this.#pacedUntilMs = Math.max(nowMs, this.#pacedUntilMs) + GATHER_MS;
    const waitMs = this.#pacedUntilMs - GATHER_BURST_MS - nowMs;
    if (waitMs > 0) await waitFor(clock, waitMs, signal);
  }

  /** While the store does not answer it is asked for what is there: waiting would hide its return. */
  #pickWaitMs(): number {
    if (!this.#isReachable) return 0;
    const jitter = WATCH_WAIT_JITTER * this.#parts.random.nextFloat();
    return Math.round(WATCH_WAIT_MS * (1 - jitter));
  }

  #logOlder({ era, revision }: StorePosition): void {
    this.#parts.logger.warn("older state of the store passed over", {
      era,
      revision,
      inForceEra: this.#inForce.position.era,
      inForce: this.#inForce.position.revision,
    });
  }

  /** A store that came back from an older copy was away, and servers may lack their entries. */
  #noteEra(position: StorePosition): void {
    if (!this.#inForce.isNewEra(position)) return;
    this.#lastTroubleMs = this.#parts.clock.nowMs();
  }

  #isAfterOutage(): boolean {
    return this.#parts.clock.nowMs() - this.#lastTroubleMs < AFTER_OUTAGE_MS;
  }

  #isStoreLost(): boolean {
    const sinceMs = this.#parts.clock.nowMs() - this.#lastTroubleMs;
    return !this.#isReachable && sinceMs < STORE_LOST_MS;
  }

  #noteFailure(reason: string): "failed" {
    const { clock, logger } = this.#parts;
    if (this.#isReachable) logger.warn("store lost", { reason });
    this.#isReachable = false;
    this.#lastTroubleMs = clock.nowMs();
    return "failed";
  }

  #noteSuccess(): void {
    if (!this.#isReachable) {
      this.#parts.logger.info("store reached", { ...this.#inForce.position });
    }
    this.#isReachable = true;
  }

  async #pause(failures: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#parts;
    const longestMs = Math.min(
      LONGEST_PAUSE_MS,
      FIRST_PAUSE_MS * 2 ** failures,
    );
    await waitFor(clock, longestMs * (0.5 + random.nextFloat() / 2), signal);
  }
}
