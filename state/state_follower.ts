import { type Random, waitFor } from "../clock/mod.ts";
import type { KnownState } from "../fleet/mod.ts";
import type {
  RevisionedStore,
  StoreEntry,
  StorePosition,
} from "../store/mod.ts";
import { mayReplace } from "./merge_state.ts";
import { EXPIRED_GRACE_MS } from "./server_entries.ts";
import type { RolloutDocuments } from "./rollout_documents.ts";
import type { RegisteredInstance } from "./state_document.ts";
import { StateInForce, type StateInForceParts } from "./state_in_force.ts";
import type { StateCopy, StateSource } from "./state_source.ts";

/**
 * Maximum time that one watch waits at the store, in milliseconds. A lost answer is
 * noticed only when this time and the call's timeout (1.5 s) are over. The instances that
 * get the store's changes from this one wait as long before others take its place, and
 * must apply a configuration within the 4 s that users require.
 */
const WATCH_WAIT_MS = 1_500;
/**
 * Fraction of the wait that is random, so that instances whose watches began with the
 * same event don't all notice a lost answer at the same time.
 */
const WATCH_WAIT_JITTER = 0.25;
/** Initial delay after a failed call, in milliseconds; it doubles with each failure and is jittered. */
const INITIAL_BACKOFF_MS = 150;
/** Upper bound of that delay, in milliseconds. */
const MAX_BACKOFF_MS = 1_000;
/** How long after the end of an outage missing servers still get a grace period, in milliseconds. */
const OUTAGE_GRACE_MS = 3_000;
/**
 * Interval between watches that return changes, in milliseconds, while changes follow
 * each other: servers that warm up write once a second each, and each watch is a paid
 * call. Changes within the interval share one answer.
 */
const WATCH_INTERVAL_MS = 200;
/**
 * How far watches may run ahead of that interval, in milliseconds: after a quiet time, ten
 * changes are received at once.
 */
const WATCH_BURST_MS = 2_000;
/** Interval at which an instance checks whether it has to follow the store, in milliseconds: one report. */
const ROLE_CHECK_INTERVAL_MS = 150;
/**
 * How long an instance reports the store as lost after its last failed call, if it has
 * stopped following, in milliseconds. Then it may take over from a follower again.
 */
const STORE_LOST_REPORT_MS = 10_000;

/** What a follower is created from. */
export interface StateFollowerParts extends StateInForceParts {
  readonly store: Pick<RevisionedStore, "readSnapshot" | "awaitChanges">;
  readonly random: Random;
  /** Prefix of all keys that are followed. */
  readonly prefix: string;
  /** Returns whether this instance follows the store instead of copying from peers. Default: always. */
  readonly isRelay?: () => boolean;
}

/**
 * Follows the documents in the store and puts them in force: configuration, servers,
 * evacuations. While the store does not answer, the last known state stays in force, and
 * copies of peers that know more are applied.
 */
export class StateFollower implements StateSource {
  readonly #parts: StateFollowerParts;
  readonly #inForce: StateInForce;
  /** Time up to which the allowed rate of watches is used up, in milliseconds. */
  #rateUsedUntilMs = 0;
  #isReachable = false;
  /** Time of the last failed call, compaction or new era of the store: entries may be missing after it. */
  #lastOutageMs = Number.NEGATIVE_INFINITY;

  /** @param parts Store, decoder and receivers of changes. */
  constructor(parts: StateFollowerParts) {
    this.#parts = parts;
    this.#inForce = new StateInForce(parts);
  }

  /** Version and position up to which the store is known. */
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
    return this.instances.map(({ address }) => address);
  }

  /** Instances that have an entry in the store. */
  get instances(): readonly RegisteredInstance[] {
    return this.#inForce.instances;
  }

  /** Orders and records of rollouts, as they are in force. */
  get rollouts(): RolloutDocuments {
    return this.#inForce.rollouts;
  }

  /** Returns the entry of a key as last seen. */
  readEntry(key: string): StoreEntry | undefined {
    return this.#inForce.readEntry(key);
  }

  /**
   * Returns a copy for a peer.
   *
   * @param after Position up to which the peer knows everything.
   */
  createCopy(after: StorePosition): StateCopy {
    return this.#inForce.createCopy(after, this.#isAfterOutage());
  }

  /**
   * Applies the copy of a peer that knows more.
   *
   * @returns Whether anything in it was newer.
   */
  applyCopy(copy: StateCopy): boolean {
    this.#recordEra(copy);
    return this.#inForce.applyCopy(copy);
  }

  /** Follows the store until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let afterRevision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
      if (!this.#mustFollow()) {
        await waitFor(this.#parts.clock, ROLE_CHECK_INTERVAL_MS, signal);
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
      // The next watch continues from the same revision: the store keeps some history.
      await this.#backOff(failures++, signal);
    }
  }

  /** Drops what did not come back after an outage, or was not written again in time. */
  sweep(): void {
    this.#inForce.sweep();
  }

  async #readAll(signal: AbortSignal): Promise<number | "failed"> {
    const { prefix, store } = this.#parts;
    const snapshot = await store.readSnapshot(prefix, { signal });
    if (snapshot.isErr()) return this.#recordFailure(snapshot.error.message);
    const wasAfterOutage = this.#isAfterOutage();
    this.#recordSuccess();
    this.#recordEra(snapshot.value);
    if (mayReplace(this.#inForce.position, snapshot.value)) {
      const graceMs = wasAfterOutage ? EXPIRED_GRACE_MS : 0;
      this.#inForce.applySnapshot(snapshot.value, graceMs);
    } else this.#logOlderSnapshot(snapshot.value);
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
    if (changes.isErr()) return this.#recordFailure(changes.error.message);
    this.#recordSuccess();
    const { era } = changes.value;
    // Revisions of a new era can't be compared with the one asked for: read everything.
    if (era > this.#inForce.position.era) return undefined;
    if (changes.value.kind === "compacted") {
      logger.info("store compacted its history", { afterRevision, era });
      this.#lastOutageMs = this.#parts.clock.nowMs();
      return undefined;
    }
    const { events, revision } = changes.value;
    // The answer was in transit while a peer's copy brought the next era.
    if (era < this.#inForce.position.era) return revision;
    this.#inForce.applyEvents(events, revision, this.#isAfterOutage());
    if (events.length > 0) await this.#limitWatchRate(signal);
    return this.#inForce.position.revision;
  }

  /** Until its first configuration, each instance follows the store, whether it is a relay or not. */
  #mustFollow(): boolean {
    return !this.isLoaded || (this.#parts.isRelay?.() ?? true);
  }

  async #limitWatchRate(signal: AbortSignal): Promise<void> {
    const { clock } = this.#parts;
    const nowMs = clock.nowMs();
    this.#rateUsedUntilMs = Math.max(nowMs, this.#rateUsedUntilMs) +
      WATCH_INTERVAL_MS;
    const waitMs = this.#rateUsedUntilMs - WATCH_BURST_MS - nowMs;
    if (waitMs > 0) await waitFor(clock, waitMs, signal);
  }

  /** A store that did not answer is asked without waiting: a wait would delay noticing its return. */
  #pickWaitMs(): number {
    if (!this.#isReachable) return 0;
    const jitter = WATCH_WAIT_JITTER * this.#parts.random.nextFloat();
    return Math.round(WATCH_WAIT_MS * (1 - jitter));
  }

  #logOlderSnapshot({ era, revision }: StorePosition): void {
    this.#parts.logger.warn("older snapshot of the store ignored", {
      era,
      revision,
      inForceEra: this.#inForce.position.era,
      inForce: this.#inForce.position.revision,
    });
  }

  /** A store restored from an older copy had an outage, and entries of servers may be missing. */
  #recordEra(position: StorePosition): void {
    if (!this.#inForce.isNewEra(position)) return;
    this.#lastOutageMs = this.#parts.clock.nowMs();
  }

  #isAfterOutage(): boolean {
    return this.#parts.clock.nowMs() - this.#lastOutageMs < OUTAGE_GRACE_MS;
  }

  #isStoreLost(): boolean {
    const sinceMs = this.#parts.clock.nowMs() - this.#lastOutageMs;
    return !this.#isReachable && sinceMs < STORE_LOST_REPORT_MS;
  }

  #recordFailure(reason: string): "failed" {
    const { clock, logger } = this.#parts;
    if (this.#isReachable) logger.warn("store lost", { reason });
    this.#isReachable = false;
    this.#lastOutageMs = clock.nowMs();
    return "failed";
  }

  #recordSuccess(): void {
    if (!this.#isReachable) {
      this.#parts.logger.info("store reached", { ...this.#inForce.position });
    }
    this.#isReachable = true;
  }

  async #backOff(failures: number, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#parts;
    const maxMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** failures,
    );
    await waitFor(clock, maxMs * (0.5 + random.nextFloat() / 2), signal);
  }
}
