import { type Clock, scheduleEvery, waitFor } from "../clock/mod.ts";
import { type ConfigurationEntry, groupBy } from "../resources/mod.ts";
import type { Store } from "../store/mod.ts";
import { catchUp } from "./accept_changes.ts";
import {
  decodeLogEvent,
  LOG_PREFIX,
  readSnapshot,
  toBucket,
  toBucketPrefix,
  toLogKey,
  writeEntry,
  writeSnapshot,
} from "./configuration_log.ts";
import type {
  CatchUpAnswer,
  ConfigurationState,
} from "./configuration_state.ts";

/** What a {@linkcode ConfigurationController} needs. */
export interface ConfigurationControllerParts {
  readonly state: ConfigurationState;
  readonly store: Store;
  readonly clock: Clock;
  /** Returns whether this instance is one of those that watch the store for their region. */
  readonly isWatcher: () => boolean;
  /** Returns whether this instance is the one watcher that pushes entries to its region. */
  readonly isRelay: () => boolean;
  /** Sends entries to the peers of the region. */
  readonly push: (entries: readonly ConfigurationEntry[]) => void;
  /** Requests what comes after a sequence number from a peer, the most advanced one first. */
  readonly pull: (after: number) => Promise<CatchUpAnswer | undefined>;
  /** Returns the highest sequence number that any peer has reported. */
  readonly readNewestSequence: () => number;
  /** Reports a message to the operator. */
  readonly report: (message: string) => void;
}

const CHECK_INTERVAL_MS = 300;
const WATCH_RETRY_MS = 500;
const SNAPSHOT_INTERVAL_ENTRIES = 256;
const CHECKS_PER_REPAIR = 100;

/**
 * Keeps the configuration of one instance up to date: a watcher reads it from the
 * store, the others from their peers. An instance starts with whichever of the two
 * answers first.
 */
export class ConfigurationController {
  readonly #parts: ConfigurationControllerParts;
  /** Source of the entries that are being applied. */
  #source: "local" | "watch" | "peer" = "local";
  #checkCount = 0;
  #isPulling = false;

  /** @param parts State, store, clock and functions that reach the peers. */
  constructor(parts: ConfigurationControllerParts) {
    this.#parts = parts;
  }

  /**
   * Starts to watch the store and to compare with the peers.
   *
   * @param signal Stops both.
   */
  start(signal: AbortSignal): void {
    const { clock, state } = this.#parts;
    state.subscribe((entry) => {
      if (entry === undefined) return;
      // Each entry is pushed once in a region; an instance that misses it finds out by
      // the next heartbeat.
      const shouldPush = this.#source === "local" ||
        (this.#source === "watch" && this.#parts.isRelay());
      if (shouldPush) this.#parts.push([entry]);
      if (
        entry.sequence % SNAPSHOT_INTERVAL_ENTRIES === 0 &&
        this.#parts.isWatcher()
      ) {
        void writeSnapshot(this.#parts.store, state.toSnapshot());
      }
    });
    void this.#load().then(() => this.#watchForever(signal));
    scheduleEvery(clock, CHECK_INTERVAL_MS, () => this.#check(), signal);
  }

  /**
   * Applies entries that a peer pushed.
   *
   * @param entries Entries by ascending sequence number.
   */
  receive(entries: readonly ConfigurationEntry[]): void {
    const outcomes = this.#applyFrom(
      "peer",
      () => entries.map((entry) => this.#parts.state.apply(entry)),
    );
    if (outcomes.some(({ kind }) => kind === "gap")) void this.#pullFromPeers();
  }

  /**
   * Catches up with the newest configuration that any peer has reported. A change
   * must not be accepted earlier: after a restore of the store, its log may lack
   * entries that are in force at peers.
   *
   * @returns Whether no peer has reported anything newer.
   */
  async catchUpWithPeers(): Promise<boolean> {
    const { readNewestSequence, state } = this.#parts;
    if (readNewestSequence() > state.sequence) await this.#pullFromPeers();
    return readNewestSequence() <= state.sequence;
  }

  async #load(): Promise<void> {
    const { store, state } = this.#parts;
    const [fromStore] = await Promise.all([
      readSnapshot(store),
      this.#pullFromPeers(),
    ]);
    if (fromStore.isErr()) return;
    if (fromStore.value !== undefined) state.applySnapshot(fromStore.value);
    await catchUp(store, state);
  }

  async #watchForever(signal: AbortSignal): Promise<void> {
    const { clock, isWatcher } = this.#parts;
    while (!signal.aborted) {
      if (isWatcher()) await this.#watchOnce(signal);
      await waitFor(clock, WATCH_RETRY_MS, signal);
    }
  }

  async #watchOnce(signal: AbortSignal): Promise<void> {
    const { store, state, isWatcher } = this.#parts;
    const watchAbort = new AbortController();
    const events = store.watch(
      LOG_PREFIX,
      AbortSignal.any([signal, watchAbort.signal]),
    );
    const catchingUp = catchUp(store, state).then((result) => {
      if (result.isErr()) watchAbort.abort();
    });
    for await (const event of events) {
      const entry = decodeLogEvent(event);
      const outcome = entry &&
        this.#applyFrom("watch", () => state.apply(entry));
      if (outcome?.kind === "gap") await catchUp(store, state);
      if (!isWatcher()) break;
    }
    watchAbort.abort();
    await catchingUp;
  }

  #applyFrom<T>(source: "watch" | "peer", apply: () => T): T {
    this.#source = source;
    const result = apply();
    this.#source = "local";
    return result;
  }

  async #check(): Promise<void> {
    const { state, readNewestSequence, isWatcher } = this.#parts;
    if (!state.isLoaded || readNewestSequence() > state.sequence) {
      await this.#pullFromPeers();
    }
    if (!state.isLoaded) await this.#load();
    this.#checkCount++;
    if (isWatcher() && this.#checkCount % CHECKS_PER_REPAIR === 0) {
      await this.#repairStore();
    }
  }

  async #pullFromPeers(): Promise<void> {
    if (this.#isPulling) return;
    this.#isPulling = true;
    const answer = await this.#parts.pull(this.#parts.state.sequence);
    this.#isPulling = false;
    if (answer === undefined) return;
    const { state } = this.#parts;
    switch (answer.kind) {
      case "entries":
        this.#applyFrom(
          "peer",
          () => answer.entries.forEach((entry) => state.apply(entry)),
        );
        return;
      case "snapshot":
        state.applySnapshot(answer.snapshot);
        return;
    }
  }

  /**
   * Writes back the entries that the store lacks after it was restored to an older
   * state. What is in force stays in force, and the log continues from there.
   */
  async #repairStore(): Promise<void> {
    const { state, store, report } = this.#parts;
    const missing: ConfigurationEntry[] = [];
    // Goes back from the newest bucket as long as entries are missing: there may be a
    // gap before an entry that was accepted after the restore.
    const buckets = [
      ...groupBy(state.recent, ({ sequence }) => toBucket(sequence)),
    ].toReversed();
    for (const [bucket, entries] of buckets) {
      const read = await store.readPrefix(toBucketPrefix(bucket));
      if (read.isErr()) return;
      const present = new Set(read.value.map(({ key }) => key));
      const lacking = entries.filter(({ sequence }) =>
        !present.has(toLogKey(sequence))
      );
      missing.unshift(...lacking);
      if (lacking.length === 0) break;
    }
    if (missing.length === 0) return;
    report(
      `The store lacks ${missing.length} entries that are in force: writing them back`,
    );
    for (const entry of missing) await writeEntry(store, entry);
    await writeSnapshot(store, state.toSnapshot());
  }
}
