import { err, ok } from "neverthrow";
import type { Clock } from "../clock/mod.ts";
import { waitFor } from "../clock/mod.ts";
import {
  type AwaitChangesRequest,
  MAX_VALUE_BYTES,
  type RevisionedStore,
  type StoreCallOptions,
  type StoreChanges,
  type StoreEntry,
  type StoreEvent,
  type StoreFailure,
  type StoreResult,
  type StoreSnapshot,
  type Swap,
  type SwapOutcome,
} from "../store/mod.ts";

/** Faults of the store, which can be set while it runs. */
export interface StoreFaults {
  /** Whether every call fails and every watch ends; set with {@linkcode MemoryStore.setDown}. */
  isDown: boolean;
  /** Latency of each call, in milliseconds. */
  latencyMs: number;
  /** Number of coming writes that take effect but whose answer is lost. Counts down. */
  loseAnswers: number;
  /** Number of coming writes that take no effect and whose answer is lost. Counts down. */
  loseRequests: number;
  /** Number of coming writes that run `lateMs` after their answer was lost. Counts down. */
  runLate: number;
  /** Time after which such writes run, in milliseconds. */
  lateMs: number;
}

/** Numbers of calls to the store; a watch counts once, however long it waits. */
export interface StoreCounts {
  reads: number;
  writes: number;
  watches: number;
  failed: number;
  bytesWritten: number;
}

interface Lease {
  expiresMs: number;
  readonly ttlMs: number;
}

type LeasedEntry = StoreEntry & { readonly leaseId: string | undefined };

/** A copy of a store, from which the store can be restored. */
export interface StoreBackup {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, LeasedEntry>;
  /** Time to live by lease id, in milliseconds. */
  readonly leaseTtlsMs: ReadonlyMap<string, number>;
  readonly leaseSequence: number;
}

interface Watcher {
  readonly prefix: string;
  readonly queue: StoreEvent[];
  wake: () => void;
  isClosed: boolean;
}

const ANSWER_LOST: StoreFailure = {
  kind: "unknown",
  message: "Cannot tell the end of the write: answer lost",
};

/** A stand-in for the platform's key-value store that keeps its data in memory. */
export class MemoryStore implements RevisionedStore {
  /** Current faults. */
  readonly faults: StoreFaults = {
    isDown: false,
    latencyMs: 0,
    loseAnswers: 0,
    loseRequests: 0,
    runLate: 0,
    lateMs: 3_000,
  };
  /** Calls since the start. */
  readonly counts: StoreCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    failed: 0,
    bytesWritten: 0,
  };
  #entries = new Map<string, LeasedEntry>();
  #leases = new Map<string, Lease>();
  #watchers = new Set<Watcher>();
  #era = 0;
  #revision = 0;
  #leaseSequence = 0;
  #history: StoreEvent[] = [];
  /** Revision up to which changes are no longer in the history. */
  #compactedRevision = 0;
  readonly #changeWaits = new Set<AbortController>();
  readonly #clock: Clock;

  /** @param clock Source of time for latencies and leases. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts or ends an outage. */
  setDown(isDown: boolean): void {
    this.faults.isDown = isDown;
    if (isDown) this.#closeWatchers();
  }

  /** Returns a copy of all keys, for a later {@linkcode restore}. */
  snapshot(): ReadonlyMap<string, StoreEntry> {
    return new Map(this.#entries);
  }

  /**
   * Replaces all entries by those of a snapshot, as an operator's restore would. The
   * revision goes on counting, and the entries lose their leases.
   */
  restore(snapshot: ReadonlyMap<string, StoreEntry>): void {
    this.#entries = new Map(
      [...snapshot].map((
        [key, entry],
      ) => [key, { ...entry, leaseId: undefined }]),
    );
    this.#closeWatchers();
  }

  /** Number of times that the store was restored from a backup. */
  get era(): number {
    return this.#era;
  }

  /** Returns a backup for a later {@linkcode restoreBackup}. */
  createBackup(): StoreBackup {
    return {
      revision: this.#revision,
      entries: new Map(this.#entries),
      leaseTtlsMs: new Map(
        [...this.#leases].map(([leaseId, { ttlMs }]) => [leaseId, ttlMs]),
      ),
      leaseSequence: this.#leaseSequence,
    };
  }

  /**
   * Restores the store from a backup and starts a new era. Later writes are lost, and
   * revisions and lease ids that were used after the backup are used a second time.
   */
  restoreBackup(backup: StoreBackup): void {
    const nowMs = this.#clock.nowMs();
    this.#era++;
    this.#revision = backup.revision;
    this.#leaseSequence = backup.leaseSequence;
    this.#entries = new Map(backup.entries);
    this.#leases = new Map(
      [...backup.leaseTtlsMs].map(([leaseId, ttlMs]) => [
        leaseId,
        { ttlMs, expiresMs: nowMs + ttlMs },
      ]),
    );
    this.#history = this.#history
      .filter(({ revision }) => revision <= backup.revision);
    this.#closeWatchers();
  }

  async read(key: string): StoreResult<StoreEntry | undefined> {
    this.counts.reads++;
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    return ok(this.#entries.get(key));
  }

  async readPrefix(prefix: string): StoreResult<readonly StoreEntry[]> {
    this.counts.reads++;
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    const found = [...this.#entries.values()].filter((entry) =>
      entry.key.startsWith(prefix)
    );
    return ok(found.sort((a, b) => (a.key < b.key ? -1 : 1)));
  }

  async readSnapshot(prefix: string): StoreResult<StoreSnapshot> {
    const entries = await this.readPrefix(prefix);
    return entries.map((found) => ({
      entries: found,
      era: this.#era,
      revision: this.#revision,
    }));
  }

  async awaitChanges(
    request: AwaitChangesRequest,
    options: StoreCallOptions = {},
  ): StoreResult<StoreChanges> {
    this.counts.watches++;
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    const { afterRevision, prefix, waitMs } = request;
    const listEvents = () =>
      this.#history.filter(({ key, revision }) =>
        revision > afterRevision && key.startsWith(prefix)
      );
    const isOutsideHistory = afterRevision < this.#compactedRevision ||
      afterRevision > this.#revision;
    if (isOutsideHistory) return ok({ kind: "compacted", era: this.#era });
    if (listEvents().length === 0) await this.#awaitNextWrite(waitMs, options);
    const laterFailure = await this.#beginCall();
    if (laterFailure) return err(laterFailure);
    return ok({
      kind: "changes",
      events: listEvents(),
      era: this.#era,
      revision: this.#revision,
    });
  }

  /** Drops the history; whoever waits for changes after an earlier revision must read a new snapshot. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
    this.#endChangeWaits();
  }

  async swap(swap: Swap): StoreResult<SwapOutcome> {
    this.counts.writes++;
    this.counts.bytesWritten += swap.value?.length ?? 0;
    if ((swap.value?.length ?? 0) > MAX_VALUE_BYTES) {
      return err({
        kind: "too-large",
        message: `Cannot write ${swap.key}: value over the limit`,
      });
    }
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    if (this.faults.loseRequests > 0) {
      this.faults.loseRequests--;
      return err(ANSWER_LOST);
    }
    if (this.faults.runLate > 0) {
      this.faults.runLate--;
      this.#clock.schedule(this.faults.lateMs, () => this.#applySwap(swap));
      return err(ANSWER_LOST);
    }
    const outcome = this.#applySwap(swap);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--;
      return err(ANSWER_LOST);
    }
    return ok(outcome);
  }

  async grantLease(ttlMs: number): StoreResult<string> {
    this.counts.writes++;
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    const leaseId = String(++this.#leaseSequence);
    this.#leases.set(leaseId, {
      ttlMs,
      expiresMs: this.#clock.nowMs() + ttlMs,
    });
    return ok(leaseId);
  }

  async renewLease(leaseId: string): StoreResult<boolean> {
    this.counts.writes++;
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) return ok(false);
    lease.expiresMs = this.#clock.nowMs() + lease.ttlMs;
    return ok(true);
  }

  async revokeLease(leaseId: string): StoreResult<void> {
    this.counts.writes++;
    const failure = await this.#beginCall();
    if (failure) return err(failure);
    this.#dropLease(leaseId);
    return ok(undefined);
  }

  async *watch(prefix: string, signal: AbortSignal): AsyncIterable<StoreEvent> {
    if (this.faults.isDown || signal.aborted) return;
    this.counts.watches++;
    const watcher: Watcher = {
      prefix,
      queue: [],
      wake: () => {},
      isClosed: false,
    };
    this.#watchers.add(watcher);
    const close = () => this.#closeWatcher(watcher);
    signal.addEventListener("abort", close, { once: true });
    try {
      while (!watcher.isClosed) {
        const event = watcher.queue.shift();
        if (event !== undefined) yield event;
        else await new Promise<void>((resolve) => (watcher.wake = resolve));
      }
    } finally {
      signal.removeEventListener("abort", close);
      this.#watchers.delete(watcher);
    }
  }

  #applySwap(swap: Swap): SwapOutcome {
    this.#expireLeases();
    const current = this.#entries.get(swap.key);
    if ((current?.revision ?? 0) !== swap.expectedRevision) {
      return { kind: "conflict" };
    }
    if (swap.leaseId !== undefined && !this.#leases.has(swap.leaseId)) {
      return { kind: "conflict" };
    }
    this.#write(swap.key, swap.value, swap.leaseId);
    return { kind: "written", revision: this.#revision };
  }

  #write(
    key: string,
    value: string | undefined,
    leaseId: string | undefined,
  ): void {
    const revision = ++this.#revision;
    if (value === undefined) this.#entries.delete(key);
    else this.#entries.set(key, { key, value, revision, leaseId });
    const event = { key, value, revision };
    this.#history.push(event);
    this.#endChangeWaits();
    const { latencyMs } = this.faults;
    [...this.#watchers].filter((watcher) => key.startsWith(watcher.prefix))
      .forEach((watcher) => {
        const deliver = () => {
          watcher.queue.push(event);
          watcher.wake();
        };
        if (latencyMs > 0) this.#clock.schedule(latencyMs, deliver);
        else deliver();
      });
  }

  #expireLeases(): void {
    const nowMs = this.#clock.nowMs();
    [...this.#leases].filter(([, lease]) => lease.expiresMs <= nowMs)
      .forEach(([leaseId]) => this.#dropLease(leaseId));
  }

  #dropLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    [...this.#entries.values()].filter((entry) => entry.leaseId === leaseId)
      .forEach((entry) => this.#write(entry.key, undefined, undefined));
  }

  /** Waits for the latency and expires leases; returns a failure if the store is down. */
  async #beginCall(): Promise<StoreFailure | undefined> {
    if (this.faults.latencyMs > 0) {
      await waitFor(this.#clock, this.faults.latencyMs);
    }
    this.#expireLeases();
    if (!this.faults.isDown) return undefined;
    this.counts.failed++;
    return {
      kind: "unavailable",
      message: "Cannot reach the store: it is down",
    };
  }

  async #awaitNextWrite(
    waitMs: number,
    options: StoreCallOptions,
  ): Promise<void> {
    const wait = new AbortController();
    this.#changeWaits.add(wait);
    const end = () => wait.abort("ended");
    options.signal?.addEventListener("abort", end, { once: true });
    await waitFor(this.#clock, waitMs, wait.signal);
    options.signal?.removeEventListener("abort", end);
    this.#changeWaits.delete(wait);
  }

  #endChangeWaits(): void {
    this.#changeWaits.forEach((wait) => wait.abort("changed"));
  }

  #closeWatchers(): void {
    this.#endChangeWaits();
    [...this.#watchers].forEach((watcher) => this.#closeWatcher(watcher));
  }

  #closeWatcher(watcher: Watcher): void {
    watcher.isClosed = true;
    watcher.wake();
  }
}
