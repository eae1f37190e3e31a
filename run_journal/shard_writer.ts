import { err, ok, type Result } from "neverthrow";
import { type Clock, createToken, type Random, waitFor } from "../clock/mod.ts";
import type { AttemptId, Incarnation, RunKey } from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { Store, StoreFailure, SwapOutcome } from "../store/mod.ts";
import {
  applyEnd,
  type BeginOutcome,
  decideBegin,
  type Run,
  type RunEnd,
  type RunRecord,
} from "./run_record.ts";

/** A part of a shard in one value of the store. */
interface Segment {
  readonly number: number;
  /** No more is written to it; the next one goes on. */
  readonly isSealed: boolean;
  readonly records: readonly RunRecord[];
  readonly changeIds: readonly string[];
}

type Operation =
  | {
    readonly kind: "begin";
    readonly run: Run;
    readonly settle: (result: Result<BeginOutcome, Failure>) => void;
  }
  | {
    readonly kind: "finish";
    readonly key: RunKey;
    readonly attempt: AttemptId;
    readonly end: RunEnd;
    readonly settle: () => void;
    triesLeft: number;
  };

/** What a writer is created from. */
export interface ShardWriterParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  /** Prefix of the shard's keys, ending in a slash. */
  readonly prefix: string;
  readonly isGone: (holder: Incarnation) => boolean;
}

/** Optional parts of a writer. */
export interface ShardWriterOptions {
  /** Pause that gathers begins into one write, in milliseconds. Default: 2. */
  readonly gatherMs?: number;
  /** Longest that ends wait for a begin to travel with, in milliseconds. Default: 200. */
  readonly finishDelayMs?: number;
  /** Size at which a segment is sealed, in bytes. Default: 16,000. */
  readonly segmentBytes?: number;
  /** How long records are kept, in milliseconds. Default: one hour. */
  readonly retentionMs?: number;
}

const DEFAULT_GATHER_MS = 2;
const DEFAULT_FINISH_DELAY_MS = 200;
const DEFAULT_SEGMENT_BYTES = 16_000;
const DEFAULT_RETENTION_MS = 3_600_000;
const KEPT_CHANGE_IDS = 8;
const MAX_TRIES = 6;
const FINISH_TRIES = 30;
const FINISH_PAUSE_MS = 1_000;

/**
 * Writes one shard of the run journal: many begins and ends in one
 * compare-and-swap of the shard's open segment. Whoever writes must know the
 * whole shard, and the swap fails if anyone else has written since: so any
 * number of writers is safe, and one coordinator at a time is merely fast.
 */
export class ShardWriter {
  /** Writes made, and operations that they carried. */
  readonly counts = { writes: 0, operations: 0, conflicts: 0 };
  readonly #parts: ShardWriterParts;
  readonly #options: Required<ShardWriterOptions>;
  readonly #records = new Map<RunKey, RunRecord>();
  #segments: number[] = [];
  #open: Segment = createSegment(0);
  #openRevision = 0;
  #isLoaded = false;
  #pending: Operation[] = [];
  #isRunning = false;
  #urgent: (() => void) | undefined;

  /**
   * @param parts Store, clock, random source and prefix.
   * @param options Sizes and pauses.
   */
  constructor(parts: ShardWriterParts, options: ShardWriterOptions = {}) {
    this.#parts = parts;
    this.#options = {
      gatherMs: options.gatherMs ?? DEFAULT_GATHER_MS,
      finishDelayMs: options.finishDelayMs ?? DEFAULT_FINISH_DELAY_MS,
      segmentBytes: options.segmentBytes ?? DEFAULT_SEGMENT_BYTES,
      retentionMs: options.retentionMs ?? DEFAULT_RETENTION_MS,
    };
  }

  /** Records held in memory. */
  get recordCount(): number {
    return this.#records.size;
  }

  /**
   * Asks to begin a run; resolves when the write that carries it is known to be in.
   *
   * @param run The run.
   */
  begin(run: Run): Promise<Result<BeginOutcome, Failure>> {
    return new Promise((settle) => {
      this.#pending.push({ kind: "begin", run, settle });
      this.#urgent?.();
      void this.#run();
    });
  }

  /**
   * Records an end; resolves when it is in, or was given up.
   *
   * @param key Key of the run.
   * @param attempt Whose end it is.
   * @param end How it ended.
   */
  finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    return new Promise((settle) => {
      const triesLeft = FINISH_TRIES;
      this.#pending.push({
        kind: "finish",
        key,
        attempt,
        end,
        settle,
        triesLeft,
      });
      void this.#run();
    });
  }

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    while (this.#pending.length > 0) {
      await this.#gather();
      const batch = this.#pending;
      this.#pending = [];
      await this.#commit(batch);
    }
    this.#isRunning = false;
  }

  async #gather(): Promise<void> {
    const { clock } = this.#parts;
    const hasBegin = this.#pending.some(({ kind }) => kind === "begin");
    if (!hasBegin) {
      const early = new AbortController();
      this.#urgent = () => early.abort();
      await waitFor(clock, this.#options.finishDelayMs, early.signal);
      this.#urgent = undefined;
    }
    if (this.#options.gatherMs > 0) {
      await waitFor(clock, this.#options.gatherMs);
    }
  }

  async #commit(batch: readonly Operation[]): Promise<void> {
    let failure: StoreFailure = {
      kind: "unavailable",
      message: "no try was made",
    };
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const loaded = await this.#load();
      if (loaded.isErr()) {
        failure = loaded.error;
        break;
      }
      const plan = this.#plan(batch);
      const written = plan.changed.length === 0
        ? ok(true)
        : await this.#write(plan.changed);
      if (written.isErr()) {
        failure = written.error;
        this.#isLoaded = false;
        break;
      }
      if (!written.value) {
        this.counts.conflicts++;
        this.#isLoaded = false;
        continue;
      }
      plan.changed.forEach((record) => this.#records.set(record.key, record));
      plan.settle();
      this.counts.operations += batch.length;
      await this.#prune();
      return;
    }
    this.#fail(batch, failure);
  }

  /** Works out which records a batch changes; later operations see earlier ones. */
  #plan(
    batch: readonly Operation[],
  ): { readonly changed: readonly RunRecord[]; readonly settle: () => void } {
    const { clock, isGone } = this.#parts;
    const nowMs = clock.nowMs();
    const changed = new Map<RunKey, RunRecord>();
    const read = (key: RunKey) => changed.get(key) ?? this.#records.get(key);
    const settles = batch.map((operation) => {
      switch (operation.kind) {
        case "begin": {
          const { run, settle } = operation;
          const decision = decideBegin(read(run.key), run, nowMs, { isGone });
          if (decision.kind !== "claim") return () => settle(ok(decision));
          changed.set(run.key, { ...run, begunMs: nowMs, end: undefined });
          return () => settle(ok({ kind: "granted" }));
        }
        case "finish": {
          const { key, attempt, end, settle } = operation;
          const record = applyEnd(read(key), attempt, end);
          if (record !== undefined) changed.set(key, record);
          return settle;
        }
      }
    });
    return {
      changed: [...changed.values()],
      settle: () => settles.forEach((settle) => settle()),
    };
  }

  /** Returns whether the write is in; `false` after a conflict. */
  async #write(
    changed: readonly RunRecord[],
  ): Promise<Result<boolean, StoreFailure>> {
    const changeId = createToken(this.#parts.random);
    const segment: Segment = {
      ...this.#open,
      records: [...this.#open.records, ...changed],
      changeIds: [...this.#open.changeIds, changeId].slice(-KEPT_CHANGE_IDS),
    };
    const written = await this.#writeSegment(segment, changeId);
    if (written.isErr() || !written.value) return written;
    return await this.#sealIfFull();
  }

  async #writeSegment(
    segment: Segment,
    changeId: string,
  ): Promise<Result<boolean, StoreFailure>> {
    const { store, clock } = this.#parts;
    const key = this.#toKey(segment.number);
    const value = JSON.stringify(segment);
    const expectedRevision = this.#openRevision;
    const options = { callClass: "journal" } as const;
    let isUncertain = false;
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      this.counts.writes++;
      const swapped = await store.swap(
        { key, expectedRevision, value },
        options,
      );
      if (swapped.isOk() && swapped.value.kind === "written") {
        this.#open = segment;
        this.#openRevision = swapped.value.revision;
        return ok(true);
      }
      if (swapped.isErr() && swapped.error.kind !== "unknown" && !isUncertain) {
        return err(swapped.error);
      }
      if (swapped.isOk() && !isUncertain) return ok(false);
      // The end of some try is not known: look for its change id.
      isUncertain = true;
      const read = await store.read(key, options);
      if (read.isErr()) {
        await waitFor(clock, this.#options.gatherMs);
        continue;
      }
      if (
        read.value !== undefined && read.value.revision !== expectedRevision
      ) {
        const found = JSON.parse(read.value.value) as Segment;
        if (!found.changeIds.includes(changeId)) return ok(false);
        this.#open = found;
        this.#openRevision = read.value.revision;
        return ok(true);
      }
    }
    return err({
      kind: "unknown",
      message: `Cannot tell the end of the write of ${key}`,
    });
  }

  /** A segment is sealed before the next one is opened, so that no writer misses the next one. */
  async #sealIfFull(): Promise<Result<boolean, StoreFailure>> {
    const size = JSON.stringify(this.#open.records).length;
    if (size < this.#options.segmentBytes) return ok(true);
    const changeId = createToken(this.#parts.random);
    const sealed = { ...this.#open, isSealed: true, changeIds: [changeId] };
    const startMs = this.#parts.clock.nowMs();
    const isSealed = (await this.#writeSegment(sealed, changeId)).unwrapOr(
      false,
    );
    const next = sealed.number + 1;
    const created = isSealed ? await this.#createOpen(next) : undefined;
    const tookMs = this.#parts.clock.nowMs() - startMs;
    // What was committed stays committed, whatever became of the seal. Only a
    // quick creation cannot have hit a place that was filled and pruned since.
    this.#isLoaded = false;
    if (created?.isOk() && created.value.kind === "written") {
      if (tookMs < this.#options.retentionMs / 2) {
        this.#segments.push(sealed.number);
        this.#open = createSegment(next);
        this.#openRevision = created.value.revision;
        this.#isLoaded = true;
      }
    }
    return ok(true);
  }

  /**
   * Reads the whole shard. A new segment is created empty and the shard is read
   * again before anything is written to it: so a writer that was paused for long
   * cannot mistake a pruned place in the order for a new one.
   */
  async #load(): Promise<Result<void, StoreFailure>> {
    if (this.#isLoaded) return ok(undefined);
    const { store, prefix } = this.#parts;
    for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
      const read = await store.readPrefix(prefix, { callClass: "journal" });
      if (read.isErr()) return err(read.error);
      const segments = read.value.map(({ value, revision }) => ({
        segment: JSON.parse(value) as Segment,
        revision,
      }));
      const last = segments.at(-1);
      if (last !== undefined && !last.segment.isSealed) {
        this.#take(segments);
        return ok(undefined);
      }
      const created = await this.#createOpen((last?.segment.number ?? -1) + 1);
      if (created.isErr() && created.error.kind !== "unknown") {
        return err(created.error);
      }
    }
    return err({
      kind: "unavailable",
      message: `Cannot open a segment of ${prefix}`,
    });
  }

  async #createOpen(
    number: number,
  ): Promise<Result<SwapOutcome, StoreFailure>> {
    this.counts.writes++;
    const value = JSON.stringify(createSegment(number));
    const creation = { key: this.#toKey(number), expectedRevision: 0, value };
    return await this.#parts.store.swap(creation, { callClass: "journal" });
  }

  #take(
    segments: readonly {
      readonly segment: Segment;
      readonly revision: number;
    }[],
  ): void {
    this.#records.clear();
    segments.flatMap(({ segment }) => segment.records)
      .forEach((record) => this.#records.set(record.key, record));
    this.#segments = segments.filter(({ segment }) => segment.isSealed)
      .map(({ segment }) => segment.number);
    const open = segments.at(-1)!;
    this.#open = open.segment;
    this.#openRevision = open.revision;
    this.#isLoaded = true;
  }

  /** Deletes the oldest sealed segment once all its records are past their retention. */
  async #prune(): Promise<void> {
    const { store, clock } = this.#parts;
    const number = this.#segments[0];
    if (number === undefined || this.#segments.length < 2) return;
    const oldestMs = clock.nowMs() - this.#options.retentionMs;
    const first = this.#records.values().next().value;
    if (first !== undefined && first.begunMs >= oldestMs) return;
    const read = await store.read(this.#toKey(number), { callClass: "batch" });
    if (read.isErr() || read.value === undefined) return;
    const segment = JSON.parse(read.value.value) as Segment;
    if (segment.records.some(({ begunMs }) => begunMs >= oldestMs)) return;
    const deletion = {
      key: this.#toKey(number),
      expectedRevision: read.value.revision,
      value: undefined,
    };
    const swapped = await store.swap(deletion, { callClass: "batch" });
    if (swapped.isErr() || swapped.value.kind !== "written") return;
    this.#segments.shift();
    segment.records.filter(({ key, begunMs }) =>
      this.#records.get(key)?.begunMs === begunMs
    )
      .forEach(({ key }) => this.#records.delete(key));
  }

  #fail(batch: readonly Operation[], failure: StoreFailure): void {
    const message = `Cannot journal the run: ${failure.message}`;
    const refusal = createFailure("JOURNAL_UNAVAILABLE", message, {
      retryAfterMs: 1_000,
    });
    batch.forEach((operation) => {
      if (operation.kind === "begin") {
        operation.settle(err(refusal));
        // The entry may be in all the same: say that it did not run.
        if (failure.kind === "unknown") {
          void this.finish(operation.run.key, operation.run.attempt, {
            kind: "not-run",
          });
        }
        return;
      }
      this.#finishLater(operation);
    });
  }

  #finishLater(operation: Extract<Operation, { kind: "finish" }>): void {
    operation.triesLeft--;
    if (operation.triesLeft <= 0) return operation.settle();
    this.#parts.clock.schedule(FINISH_PAUSE_MS, () => {
      this.#pending.push(operation);
      void this.#run();
    });
  }

  #toKey(number: number): string {
    return `${this.#parts.prefix}${String(number).padStart(10, "0")}`;
  }
}

function createSegment(number: number): Segment {
  return { number, isSealed: false, records: [], changeIds: [] };
}
