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

/** A part of a shard, stored in one value of the store. */
interface Segment {
  readonly number: number;
  /** Whether the segment is closed to writes, which then go to the next segment. */
  readonly isSealed: boolean;
  readonly records: readonly RunRecord[];
  /** Ids of the last writes, by which a writer finds a write whose response was lost. */
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

/** What a {@linkcode ShardWriter} is created from. */
export interface ShardWriterParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  /** Prefix of the shard's keys, ending in a slash. */
  readonly prefix: string;
  /** Returns whether a holder is known to be dead. */
  readonly isDead: (holder: Incarnation) => boolean;
}

/** Options of a {@linkcode ShardWriter}. */
export interface ShardWriterOptions {
  /** Delay before a write, during which more operations join it, in milliseconds. Default: 2. */
  readonly gatherMs?: number;
  /** Maximum time that ends wait to be written together with a begin, in milliseconds. Default: 200. */
  readonly maxFinishDelayMs?: number;
  /** Size at which a segment is sealed, in bytes. Default: 16,000. */
  readonly segmentBytes?: number;
  /** How long records are kept, in milliseconds. Default: one hour. */
  readonly retentionMs?: number;
}

const DEFAULT_GATHER_MS = 2;
const DEFAULT_FINISH_DELAY_MS = 200;
const DEFAULT_SEGMENT_BYTES = 16_000;
const DEFAULT_RETENTION_MS = 3_600_000;
const MAX_CHANGE_IDS = 8;
const MAX_TRIES = 6;
const MAX_FINISH_TRIES = 30;
const FINISH_RETRY_DELAY_MS = 1_000;

/**
 * Writes one shard of the run journal, many begins and ends in one
 * compare-and-swap of the shard's open segment. A writer must have read the whole
 * shard, and the swap fails if another writer has written since. So any number of
 * writers is safe; a single coordinator is only faster.
 */
export class ShardWriter {
  /** Numbers of writes sent to the store, operations committed, and conflicts with other writers. */
  readonly counts = { writes: 0, operations: 0, conflicts: 0 };
  readonly #parts: ShardWriterParts;
  readonly #options: Required<ShardWriterOptions>;
  readonly #records = new Map<RunKey, RunRecord>();
  #sealedNumbers: number[] = [];
  #openSegment: Segment = createSegment(0);
  #openRevision = 0;
  #isLoaded = false;
  #pending: Operation[] = [];
  #isRunning = false;
  #endFinishDelay: (() => void) | undefined;

  /**
   * @param parts Store, clock, random source and prefix.
   * @param options Sizes and delays.
   */
  constructor(parts: ShardWriterParts, options: ShardWriterOptions = {}) {
    this.#parts = parts;
    this.#options = {
      gatherMs: options.gatherMs ?? DEFAULT_GATHER_MS,
      maxFinishDelayMs: options.maxFinishDelayMs ?? DEFAULT_FINISH_DELAY_MS,
      segmentBytes: options.segmentBytes ?? DEFAULT_SEGMENT_BYTES,
      retentionMs: options.retentionMs ?? DEFAULT_RETENTION_MS,
    };
  }

  /** Number of records in memory. */
  get recordCount(): number {
    return this.#records.size;
  }

  /**
   * Asks to begin a run. Resolves when the write that contains the run is known to
   * be stored, or when the run is refused.
   *
   * @param run The run.
   */
  begin(run: Run): Promise<Result<BeginOutcome, Failure>> {
    return new Promise((settle) => {
      this.#pending.push({ kind: "begin", run, settle });
      this.#endFinishDelay?.();
      void this.#processPending();
    });
  }

  /**
   * Records an end. Resolves when the end is stored, or when the writer has given
   * up on storing it.
   *
   * @param key Key of the run.
   * @param attempt Attempt that ended.
   * @param end How the attempt ended.
   */
  finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    return new Promise((settle) => {
      const triesLeft = MAX_FINISH_TRIES;
      this.#pending.push({
        kind: "finish",
        key,
        attempt,
        end,
        settle,
        triesLeft,
      });
      void this.#processPending();
    });
  }

  async #processPending(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    while (this.#pending.length > 0) {
      await this.#waitForBatch();
      const batch = this.#pending;
      this.#pending = [];
      await this.#commitBatch(batch);
    }
    this.#isRunning = false;
  }

  async #waitForBatch(): Promise<void> {
    const { clock } = this.#parts;
    const hasBegin = this.#pending.some(({ kind }) => kind === "begin");
    if (!hasBegin) {
      const delayController = new AbortController();
      this.#endFinishDelay = () => delayController.abort();
      await waitFor(
        clock,
        this.#options.maxFinishDelayMs,
        delayController.signal,
      );
      this.#endFinishDelay = undefined;
    }
    if (this.#options.gatherMs > 0) {
      await waitFor(clock, this.#options.gatherMs);
    }
  }

  async #commitBatch(batch: readonly Operation[]): Promise<void> {
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
      const plan = this.#planBatch(batch);
      const written = plan.changed.length === 0
        ? ok(true)
        : await this.#appendRecords(plan.changed);
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
    this.#failBatch(batch, failure);
  }

  /** Returns the records that a batch changes. Later operations see the changes of earlier ones. */
  #planBatch(
    batch: readonly Operation[],
  ): { readonly changed: readonly RunRecord[]; readonly settle: () => void } {
    const { clock, isDead } = this.#parts;
    const nowMs = clock.nowMs();
    const changed = new Map<RunKey, RunRecord>();
    const readRecord = (key: RunKey) =>
      changed.get(key) ?? this.#records.get(key);
    const completions = batch.map((operation) => {
      switch (operation.kind) {
        case "begin": {
          const { run, settle } = operation;
          const decision = decideBegin(readRecord(run.key), run, nowMs, {
            isDead,
          });
          if (decision.kind !== "claim") return () => settle(ok(decision));
          changed.set(run.key, { ...run, begunMs: nowMs, end: undefined });
          return () => settle(ok({ kind: "granted" }));
        }
        case "finish": {
          const { key, attempt, end, settle } = operation;
          const record = applyEnd(readRecord(key), attempt, end);
          if (record !== undefined) changed.set(key, record);
          return settle;
        }
      }
    });
    return {
      changed: [...changed.values()],
      settle: () => completions.forEach((settle) => settle()),
    };
  }

  /** Returns `true` if the records are stored, and `false` after a conflict. */
  async #appendRecords(
    changed: readonly RunRecord[],
  ): Promise<Result<boolean, StoreFailure>> {
    const changeId = createToken(this.#parts.random);
    const segment: Segment = {
      ...this.#openSegment,
      records: [...this.#openSegment.records, ...changed],
      changeIds: [...this.#openSegment.changeIds, changeId].slice(
        -MAX_CHANGE_IDS,
      ),
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
    const key = this.#toSegmentKey(segment.number);
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
        this.#openSegment = segment;
        this.#openRevision = swapped.value.revision;
        return ok(true);
      }
      if (swapped.isErr() && swapped.error.kind !== "unknown" && !isUncertain) {
        return err(swapped.error);
      }
      if (swapped.isOk() && !isUncertain) return ok(false);
      // A write may be stored although its response was lost: look for the change id.
      isUncertain = true;
      const read = await store.read(key, options);
      if (read.isErr()) {
        await waitFor(clock, this.#options.gatherMs);
        continue;
      }
      if (
        read.value !== undefined && read.value.revision !== expectedRevision
      ) {
        const stored = JSON.parse(read.value.value) as Segment;
        if (!stored.changeIds.includes(changeId)) return ok(false);
        this.#openSegment = stored;
        this.#openRevision = read.value.revision;
        return ok(true);
      }
    }
    return err({
      kind: "unknown",
      message: `Cannot tell the end of the write of ${key}`,
    });
  }

  /** Seals the open segment before the next one is created, so that no writer misses the next one. */
  async #sealIfFull(): Promise<Result<boolean, StoreFailure>> {
    const size = JSON.stringify(this.#openSegment.records).length;
    if (size < this.#options.segmentBytes) return ok(true);
    const changeId = createToken(this.#parts.random);
    const sealed = {
      ...this.#openSegment,
      isSealed: true,
      changeIds: [changeId],
    };
    const startMs = this.#parts.clock.nowMs();
    const isSealed = (await this.#writeSegment(sealed, changeId)).unwrapOr(
      false,
    );
    const next = sealed.number + 1;
    const created = isSealed ? await this.#createOpenSegment(next) : undefined;
    const elapsedMs = this.#parts.clock.nowMs() - startMs;
    // The records are stored even if sealing failed. After a slow creation the
    // shard is read again: the key may have been free only because another writer
    // had filled that segment, and then pruned it, in the meantime.
    this.#isLoaded = false;
    if (created?.isOk() && created.value.kind === "written") {
      if (elapsedMs < this.#options.retentionMs / 2) {
        this.#sealedNumbers.push(sealed.number);
        this.#openSegment = createSegment(next);
        this.#openRevision = created.value.revision;
        this.#isLoaded = true;
      }
    }
    return ok(true);
  }

  /**
   * Reads the whole shard. If it has no open segment, creates an empty one and
   * reads the shard again before any record is written. So a writer that was paused
   * for a long time cannot mistake the number of a pruned segment for an unused one.
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
        this.#replaceCache(segments);
        return ok(undefined);
      }
      const created = await this.#createOpenSegment(
        (last?.segment.number ?? -1) + 1,
      );
      if (created.isErr() && created.error.kind !== "unknown") {
        return err(created.error);
      }
    }
    return err({
      kind: "unavailable",
      message: `Cannot open a segment of ${prefix}`,
    });
  }

  async #createOpenSegment(
    number: number,
  ): Promise<Result<SwapOutcome, StoreFailure>> {
    this.counts.writes++;
    const value = JSON.stringify(createSegment(number));
    const creation = {
      key: this.#toSegmentKey(number),
      expectedRevision: 0,
      value,
    };
    return await this.#parts.store.swap(creation, { callClass: "journal" });
  }

  #replaceCache(
    segments: readonly {
      readonly segment: Segment;
      readonly revision: number;
    }[],
  ): void {
    this.#records.clear();
    segments.flatMap(({ segment }) => segment.records)
      .forEach((record) => this.#records.set(record.key, record));
    this.#sealedNumbers = segments.filter(({ segment }) => segment.isSealed)
      .map(({ segment }) => segment.number);
    const open = segments.at(-1)!;
    this.#openSegment = open.segment;
    this.#openRevision = open.revision;
    this.#isLoaded = true;
  }

  /** Deletes the oldest sealed segment once the retention of all its records has passed. */
  async #prune(): Promise<void> {
    const { store, clock } = this.#parts;
    const number = this.#sealedNumbers[0];
    if (number === undefined || this.#sealedNumbers.length < 2) return;
    const cutoffMs = clock.nowMs() - this.#options.retentionMs;
    const first = this.#records.values().next().value;
    if (first !== undefined && first.begunMs >= cutoffMs) return;
    const read = await store.read(this.#toSegmentKey(number), {
      callClass: "batch",
    });
    if (read.isErr() || read.value === undefined) return;
    const segment = JSON.parse(read.value.value) as Segment;
    if (segment.records.some(({ begunMs }) => begunMs >= cutoffMs)) return;
    const deletion = {
      key: this.#toSegmentKey(number),
      expectedRevision: read.value.revision,
      value: undefined,
    };
    const swapped = await store.swap(deletion, { callClass: "batch" });
    if (swapped.isErr() || swapped.value.kind !== "written") return;
    this.#sealedNumbers.shift();
    segment.records.filter(({ key, begunMs }) =>
      this.#records.get(key)?.begunMs === begunMs
    )
      .forEach(({ key }) => this.#records.delete(key));
  }

  #failBatch(batch: readonly Operation[], failure: StoreFailure): void {
    const message = `Cannot journal the run: ${failure.message}`;
    const refusal = createFailure("JOURNAL_UNAVAILABLE", message, {
      retryAfterMs: 1_000,
    });
    batch.forEach((operation) => {
      if (operation.kind === "begin") {
        operation.settle(err(refusal));
        // The record may be stored nevertheless, so record that the attempt did not run.
        if (failure.kind === "unknown") {
          void this.finish(operation.run.key, operation.run.attempt, {
            kind: "not-run",
          });
        }
        return;
      }
      this.#retryFinishLater(operation);
    });
  }

  #retryFinishLater(operation: Extract<Operation, { kind: "finish" }>): void {
    operation.triesLeft--;
    if (operation.triesLeft <= 0) return operation.settle();
    this.#parts.clock.schedule(FINISH_RETRY_DELAY_MS, () => {
      this.#pending.push(operation);
      void this.#processPending();
    });
  }

  #toSegmentKey(number: number): string {
    return `${this.#parts.prefix}${String(number).padStart(10, "0")}`;
  }
}

function createSegment(number: number): Segment {
  return { number, isSealed: false, records: [], changeIds: [] };
}
