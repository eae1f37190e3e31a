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
import type { CatchUp, ConfigurationState } from "./configuration_state.ts";

/** What the controller of the configuration needs. */
export interface ConfigurationControllerParts {
  readonly state: ConfigurationState;
  readonly store: Store;
  readonly clock: Clock;
  /** Whether this daemon is one of the watchers of its region. */
  readonly isWatcher: () => boolean;
  /** Whether this daemon is the one watcher that tells its region. */
  readonly isRelay: () => boolean;
  /** The peers of the region to tell of a change. */
  readonly push: (entries: readonly ConfigurationEntry[]) => void;
  /** Asks some peer, the most advanced first, for what comes after a sequence number. */
  readonly pull: (after: number) => Promise<CatchUp | undefined>;
  /** Highest sequence number that any peer has reported. */
  readonly readNewestHeard: () => number;
  /** Called with what an operator should know. */
  readonly report: (message: string) => void;
}

const CHECK_INTERVAL_MS = 300;
const WATCH_PAUSE_MS = 500;
const SNAPSHOT_EVERY = 256;
const REPAIR_EVERY_CHECKS = 100;

/**
 * Keeps the configuration of one daemon at the newest: as a watcher from the
 * store, otherwise from its peers; and starts from whichever answers first.
 */
export class ConfigurationController {
  readonly #parts: ConfigurationControllerParts;
  /** Where the entries come from that are being applied. */
  #source: "here" | "watch" | "peer" = "here";
  #checks = 0;
  #isPulling = false;

  /** @param parts State, store, clock and ways to the peers. */
  constructor(parts: ConfigurationControllerParts) {
    this.#parts = parts;
  }

  /**
   * Starts watching and comparing.
   *
   * @param signal Ends both.
   */
  start(signal: AbortSignal): void {
    const { clock, state } = this.#parts;
    state.subscribe((entry) => {
      if (entry === undefined) return;
      // Each entry is told once in a region; who misses it sees so by the next heartbeat.
      const isTold = this.#source === "here" ||
        (this.#source === "watch" && this.#parts.isRelay());
      if (isTold) this.#parts.push([entry]);
      if (entry.sequence % SNAPSHOT_EVERY === 0 && this.#parts.isWatcher()) {
        void writeSnapshot(this.#parts.store, state.toSnapshot());
      }
    });
    void this.#load().then(() => this.#watchForever(signal));
    scheduleEvery(clock, CHECK_INTERVAL_MS, () => this.#check(), signal);
  }

  /**
   * Takes entries that a peer pushed.
   *
   * @param entries In order.
   */
  receive(entries: readonly ConfigurationEntry[]): void {
    const outcomes = this.#applyFrom(
      "peer",
      () => entries.map((entry) => this.#parts.state.apply(entry)),
    );
    if (outcomes.some(({ kind }) => kind === "gap")) void this.#pullFromPeers();
  }

  /**
   * Catches up with what any peer has reported in force. Before that a change
   * must not be accepted: after a restore of the store its log may lack what
   * peers have in force.
   *
   * @returns Whether nothing newer is known of any more.
   */
  async reachNewest(): Promise<boolean> {
    const { readNewestHeard, state } = this.#parts;
    if (readNewestHeard() > state.sequence) await this.#pullFromPeers();
    return readNewestHeard() <= state.sequence;
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
      await waitFor(clock, WATCH_PAUSE_MS, signal);
    }
  }

  async #watchOnce(signal: AbortSignal): Promise<void> {
    const { store, state, isWatcher } = this.#parts;
    const ended = new AbortController();
    const events = store.watch(
      LOG_PREFIX,
      AbortSignal.any([signal, ended.signal]),
    );
    const missed = catchUp(store, state).then((result) => {
      if (result.isErr()) ended.abort();
    });
    for await (const event of events) {
      const entry = decodeLogEvent(event);
      const outcome = entry &&
        this.#applyFrom("watch", () => state.apply(entry));
      if (outcome?.kind === "gap") await catchUp(store, state);
      if (!isWatcher()) break;
    }
    ended.abort();
    await missed;
  }

  #applyFrom<T>(source: "watch" | "peer", apply: () => T): T {
    this.#source = source;
    const result = apply();
    this.#source = "here";
    return result;
  }

  async #check(): Promise<void> {
    const { state, readNewestHeard, isWatcher } = this.#parts;
    if (!state.isLoaded || readNewestHeard() > state.sequence) {
      await this.#pullFromPeers();
    }
    if (!state.isLoaded) await this.#load();
    this.#checks++;
    if (isWatcher() && this.#checks % REPAIR_EVERY_CHECKS === 0) {
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
   * Puts back what a store lacks that was restored to an older state: what is
   * in force stays in force, and the log goes on from there.
   */
  async #repairStore(): Promise<void> {
    const { state, store, report } = this.#parts;
    const missing: ConfigurationEntry[] = [];
    // From the newest bucket back, as long as something is missing: there may be a
    // hole before an entry that was accepted after the restore.
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
