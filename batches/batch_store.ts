import { err, ok, type Result } from "neverthrow";
import type { ChangeId } from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import {
  type Store,
  type StoreEntry,
  type StoreFailure,
  writeChange,
} from "../store/mod.ts";
import {
  BATCH_PREFIX,
  type BatchAnswer,
  type BatchHead,
  type BatchItem,
  type BatchPack,
  ENDED_PREFIX,
  OPEN_PREFIX,
  type PackAnswers,
  toAnswersKey,
  toAnswersPrefix,
  toHeadKey,
  toPackKey,
} from "./batch_document.ts";
import { type AnswerMap, mergeAnswers } from "./merge_answers.ts";
import { splitPacks } from "./split_packs.ts";

/** A batch to accept. */
export interface BatchSubmission {
  /** Id that is equal for equal submissions, so that a repeated submission finds the first. */
  readonly id: string;
  readonly team: string;
  readonly bodyHash: string;
  /** Services that its items call. */
  readonly services: readonly string[];
  readonly items: readonly BatchItem[];
  /** Time of the submission, in milliseconds since the epoch. */
  readonly createdMs: number;
  /** Deadline of the batch, in milliseconds since the epoch. */
  readonly dueMs: number;
}

const STORE_OPTIONS = { callClass: "batch" } as const;

/** Reads and writes batches in the store. */
export class BatchStore {
  readonly #store: Store;
  readonly #createChangeId: () => ChangeId;

  /**
   * @param store The store.
   * @param createChangeId Creates an id for each write.
   */
  constructor(store: Store, createChangeId: () => ChangeId) {
    this.#store = store;
    this.#createChangeId = createChangeId;
  }

  /**
   * Accepts a batch. Writes the packs first and the head last: the batch is
   * accepted once the head is known to be stored, and a submission that is
   * interrupted before that leaves no batch.
   *
   * @param submission The batch.
   */
  async submit(
    submission: BatchSubmission,
  ): Promise<Result<BatchHead, Failure>> {
    const { id, items, bodyHash } = submission;
    const found = await this.readHead(id);
    if (found.isErr()) return err(toFailure(found.error));
    if (found.value !== undefined) return checkBodyHash(found.value, bodyHash);
    const packs = splitPacks(items);
    for (const [index, pack] of packs.entries()) {
      const written = await this.#writePack(id, index, pack);
      if (written.isErr()) return err(toFailure(written.error));
    }
    const head: Omit<BatchHead, "changeIds"> = {
      id,
      team: submission.team,
      services: submission.services,
      createdMs: submission.createdMs,
      dueMs: submission.dueMs,
      itemCount: items.length,
      packSizes: packs.map((pack) => pack.length),
      state: "open",
      endedMs: 0,
      bodyHash,
    };
    // The pointer is written before the head, so that no open batch lacks one. A
    // pointer without a head is no batch, and workers pass over it.
    const openPointer = await this.#writeOpenPointer(id);
    if (openPointer.isErr()) return err(toFailure(openPointer.error));
    const accepted = await writeChange<BatchHead>(this.#store, {
      key: toHeadKey(id),
      changeId: this.#createChangeId(),
      update: (current) => current === undefined ? head : undefined,
    }, STORE_OPTIONS);
    if (accepted.isErr()) return err(toFailure(accepted.error));
    return checkBodyHash(accepted.value.document!, bodyHash);
  }

  /** Reads the head of a batch. */
  async readHead(
    id: string,
  ): Promise<Result<BatchHead | undefined, StoreFailure>> {
    const read = await this.#store.read(toHeadKey(id), STORE_OPTIONS);
    return read.map((entry) => entry && JSON.parse(entry.value) as BatchHead);
  }

  /** Returns the ids of open batches. */
  async listOpen(): Promise<Result<readonly string[], StoreFailure>> {
    const read = await this.#store.readPrefix(OPEN_PREFIX, STORE_OPTIONS);
    return read.map((entries) =>
      entries.map(({ key }) => key.slice(OPEN_PREFIX.length))
    );
  }

  /** Reads the items of a pack. */
  async readPack(
    id: string,
    pack: number,
  ): Promise<Result<readonly BatchItem[], StoreFailure>> {
    const read = await this.#store.read(toPackKey(id, pack), STORE_OPTIONS);
    return read.map((entry) =>
      entry === undefined ? [] : (JSON.parse(entry.value) as BatchPack).items
    );
  }

  /** Reads the answers to a pack. */
  async readAnswers(
    id: string,
    pack: number,
  ): Promise<Result<AnswerMap, StoreFailure>> {
    const read = await this.#store.read(toAnswersKey(id, pack), STORE_OPTIONS);
    return read.map((entry) =>
      entry === undefined
        ? {}
        : (JSON.parse(entry.value) as PackAnswers).answers
    );
  }

  /** Reads all answers of a batch, in the order of its items. */
  async readAllAnswers(
    id: string,
  ): Promise<Result<readonly BatchAnswer[], StoreFailure>> {
    const read = await this.#store.readPrefix(
      toAnswersPrefix(id),
      STORE_OPTIONS,
    );
    return read.map((entries) =>
      entries.flatMap(({ value }) => {
        const { answers } = JSON.parse(value) as PackAnswers;
        return Object.entries(answers).sort(([a], [b]) => Number(a) - Number(b))
          .map(([, answer]) => answer);
      })
    );
  }

  /** Returns the number of answers of each pack that has any, with one read of the store. */
  async countAnswers(
    id: string,
  ): Promise<Result<ReadonlyMap<number, number>, StoreFailure>> {
    const prefix = toAnswersPrefix(id);
    const read = await this.#store.readPrefix(prefix, STORE_OPTIONS);
    return read.map((entries) =>
      new Map(entries.map(({ key, value }) => [
        Number(key.slice(prefix.length)),
        Object.keys((JSON.parse(value) as PackAnswers).answers).length,
      ]))
    );
  }

  /** Adds answers to those of a pack. Answers that are stored already stay. */
  async writeAnswers(
    id: string,
    pack: number,
    answers: AnswerMap,
  ): Promise<Result<AnswerMap, StoreFailure>> {
    const written = await writeChange<PackAnswers>(this.#store, {
      key: toAnswersKey(id, pack),
      changeId: this.#createChangeId(),
      update: (current) => {
        const merged = mergeAnswers(current?.answers ?? {}, answers);
        return merged && { answers: merged };
      },
    }, STORE_OPTIONS);
    return written.map(({ document }) => document?.answers ?? {});
  }

  /** Ends a batch. A batch that has ended already stays as it is. */
  async end(
    id: string,
    state: "cancelled" | "done",
    nowMs: number,
  ): Promise<Result<BatchHead | undefined, StoreFailure>> {
    const ended = await writeChange<BatchHead>(this.#store, {
      key: toHeadKey(id),
      changeId: this.#createChangeId(),
      update: (current) =>
        current === undefined || current.state !== "open"
          ? undefined
          : { ...current, state, endedMs: nowMs },
    }, STORE_OPTIONS);
    if (ended.isErr()) return err(ended.error);
    const endedMs = ended.value.document?.endedMs ?? nowMs;
    // The pointer that leads to the later removal of the batch is written before the
    // pointer to the open batch is removed.
    const key = ENDED_PREFIX + id;
    const endedPointer = await this.#store.swap(
      { key, expectedRevision: 0, value: String(endedMs) },
      STORE_OPTIONS,
    );
    if (endedPointer.isOk()) await this.removeOpenPointer(id);
    return ok(ended.value.document);
  }

  /** Removes the pointer to an open batch. */
  async removeOpenPointer(id: string): Promise<void> {
    const read = await this.#store.read(OPEN_PREFIX + id, STORE_OPTIONS);
    if (read.isErr() || read.value === undefined) return;
    const expectedRevision = read.value.revision;
    await this.#store.swap({
      key: OPEN_PREFIX + id,
      expectedRevision,
      value: undefined,
    }, STORE_OPTIONS);
  }

  /**
   * Removes batches that ended before a time. Deletes items and answers first, and
   * the head and the pointer last, so that an interrupted removal is continued by
   * the next one.
   *
   * @param beforeMs Time, in milliseconds since the epoch.
   * @returns The number of batches removed.
   */
  async removeEnded(beforeMs: number): Promise<Result<number, StoreFailure>> {
    const ended = await this.#store.readPrefix(ENDED_PREFIX, STORE_OPTIONS);
    if (ended.isErr()) return err(ended.error);
    const due = ended.value.filter(({ value }) => Number(value) < beforeMs);
    for (const pointer of due) {
      const id = pointer.key.slice(ENDED_PREFIX.length);
      const stored = await this.#store.readPrefix(
        `${BATCH_PREFIX}${id}/`,
        STORE_OPTIONS,
      );
      if (stored.isErr()) return err(stored.error);
      const isHead = ({ key }: StoreEntry) => key === toHeadKey(id);
      const deletionOrder = [
        ...stored.value.filter((entry) => !isHead(entry)),
        ...stored.value.filter(isHead),
      ];
      for (const { key, revision } of [...deletionOrder, pointer]) {
        const swap = { key, expectedRevision: revision, value: undefined };
        const removed = await this.#store.swap(swap, STORE_OPTIONS);
        if (removed.isErr()) return err(removed.error);
      }
    }
    return ok(due.length);
  }

  async #writePack(
    id: string,
    index: number,
    items: readonly BatchItem[],
  ): Promise<Result<void, StoreFailure>> {
    const value = JSON.stringify({ items } satisfies BatchPack);
    const key = toPackKey(id, index);
    const swapped = await this.#store.swap(
      { key, expectedRevision: 0, value },
      STORE_OPTIONS,
    );
    // The id identifies the content, so a pack that exists already has the same items.
    if (swapped.isOk()) return ok(undefined);
    if (swapped.error.kind !== "unknown") return err(swapped.error);
    const read = await this.#store.read(key, STORE_OPTIONS);
    if (read.isErr()) return err(read.error);
    return read.value?.value === value ? ok(undefined) : err(swapped.error);
  }

  async #writeOpenPointer(id: string): Promise<Result<void, StoreFailure>> {
    const key = OPEN_PREFIX + id;
    const swapped = await this.#store.swap({
      key,
      expectedRevision: 0,
      value: "{}",
    }, STORE_OPTIONS);
    if (swapped.isOk()) return ok(undefined);
    if (swapped.error.kind !== "unknown") return err(swapped.error);
    const read = await this.#store.read(key, STORE_OPTIONS);
    if (read.isErr()) return err(read.error);
    return read.value === undefined ? err(swapped.error) : ok(undefined);
  }
}

function checkBodyHash(
  head: BatchHead,
  bodyHash: string,
): Result<BatchHead, Failure> {
  if (head.bodyHash === bodyHash) return ok(head);
  return err(
    createFailure("KEY_BODY_MISMATCH", "The key was used with another batch"),
  );
}

function toFailure(failure: StoreFailure): Failure {
  const name = failure.kind === "unknown"
    ? "WRITE_UNKNOWN"
    : "STORE_UNAVAILABLE";
  return createFailure(name, `Cannot accept the batch: ${failure.message}`, {
    retryAfterMs: 1_000,
  });
}
