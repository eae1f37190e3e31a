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

/** A batch that is submitted. */
export interface BatchSubmission {
  /** The same for the same submission, so that a repeated one finds the first. */
  readonly id: string;
  readonly team: string;
  readonly bodyHash: string;
  /** Services that its items call. */
  readonly services: readonly string[];
  readonly items: readonly BatchItem[];
  readonly createdMs: number;
  readonly dueMs: number;
}

const OPTIONS = { callClass: "batch" } as const;

/** What batches keep in the store. */
export class BatchStore {
  readonly #store: Store;
  readonly #createChangeId: () => ChangeId;

  /**
   * @param store The store.
   * @param createChangeId Makes ids for writes.
   */
  constructor(store: Store, createChangeId: () => ChangeId) {
    this.#store = store;
    this.#createChangeId = createChangeId;
  }

  /**
   * Accepts a batch: packs first, then the head. It is accepted when the head
   * is known to be in; a submission that broke off earlier leaves no batch.
   *
   * @param submission Items and times.
   */
  async submit(
    submission: BatchSubmission,
  ): Promise<Result<BatchHead, Failure>> {
    const { id, items, bodyHash } = submission;
    const known = await this.readHead(id);
    if (known.isErr()) return err(toFailure(known.error));
    if (known.value !== undefined) return checkSame(known.value, bodyHash);
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
    // The pointer goes before the head: one without a head is dropped by whoever finds it.
    const pointed = await this.#point(id);
    if (pointed.isErr()) return err(toFailure(pointed.error));
    const accepted = await writeChange<BatchHead>(this.#store, {
      key: toHeadKey(id),
      changeId: this.#createChangeId(),
      update: (current) => current === undefined ? head : undefined,
    }, OPTIONS);
    if (accepted.isErr()) return err(toFailure(accepted.error));
    return checkSame(accepted.value.document!, bodyHash);
  }

  /** Reads the head of a batch. */
  async readHead(
    id: string,
  ): Promise<Result<BatchHead | undefined, StoreFailure>> {
    const read = await this.#store.read(toHeadKey(id), OPTIONS);
    return read.map((entry) => entry && JSON.parse(entry.value) as BatchHead);
  }

  /** Returns the ids of batches that are not done. */
  async listOpen(): Promise<Result<readonly string[], StoreFailure>> {
    const read = await this.#store.readPrefix(OPEN_PREFIX, OPTIONS);
    return read.map((entries) =>
      entries.map(({ key }) => key.slice(OPEN_PREFIX.length))
    );
  }

  /** Reads the items of a pack. */
  async readPack(
    id: string,
    pack: number,
  ): Promise<Result<readonly BatchItem[], StoreFailure>> {
    const read = await this.#store.read(toPackKey(id, pack), OPTIONS);
    return read.map((entry) =>
      entry === undefined ? [] : (JSON.parse(entry.value) as BatchPack).items
    );
  }

  /** Reads the answers to a pack. */
  async readAnswers(
    id: string,
    pack: number,
  ): Promise<Result<AnswerMap, StoreFailure>> {
    const read = await this.#store.read(toAnswersKey(id, pack), OPTIONS);
    return read.map((entry) =>
      entry === undefined
        ? {}
        : (JSON.parse(entry.value) as PackAnswers).answers
    );
  }

  /** Reads all answers of a batch, in order of its items. */
  async readAllAnswers(
    id: string,
  ): Promise<Result<readonly BatchAnswer[], StoreFailure>> {
    const read = await this.#store.readPrefix(toAnswersPrefix(id), OPTIONS);
    return read.map((entries) =>
      entries.flatMap(({ value }) => {
        const { answers } = JSON.parse(value) as PackAnswers;
        return Object.entries(answers).sort(([a], [b]) => Number(a) - Number(b))
          .map(([, answer]) => answer);
      })
    );
  }

  /** Returns how many answers each pack of a batch has, in one call. */
  async countAnswers(
    id: string,
  ): Promise<Result<ReadonlyMap<number, number>, StoreFailure>> {
    const prefix = toAnswersPrefix(id);
    const read = await this.#store.readPrefix(prefix, OPTIONS);
    return read.map((entries) =>
      new Map(entries.map(({ key, value }) => [
        Number(key.slice(prefix.length)),
        Object.keys((JSON.parse(value) as PackAnswers).answers).length,
      ]))
    );
  }

  /** Adds answers to those of a pack; what is there stays. */
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
    }, OPTIONS);
    return written.map(({ document }) => document?.answers ?? {});
  }

  /** Ends a batch; one that has ended stays as it is. */
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
    }, OPTIONS);
    if (ended.isErr()) return err(ended.error);
    const endedMs = ended.value.document?.endedMs ?? nowMs;
    // The pointer for the removal goes before the one of open batches is dropped.
    const key = ENDED_PREFIX + id;
    const noted = await this.#store.swap(
      { key, expectedRevision: 0, value: String(endedMs) },
      OPTIONS,
    );
    if (noted.isOk()) await this.dropPointer(id);
    return ok(ended.value.document);
  }

  /** Takes a batch off the list of open ones. */
  async dropPointer(id: string): Promise<void> {
    const read = await this.#store.read(OPEN_PREFIX + id, OPTIONS);
    if (read.isErr() || read.value === undefined) return;
    const expectedRevision = read.value.revision;
    await this.#store.swap({
      key: OPEN_PREFIX + id,
      expectedRevision,
      value: undefined,
    }, OPTIONS);
  }

  /**
   * Removes batches that ended before a time: items and answers first, the head
   * and the pointer last, so that a removal that breaks off is taken up again.
   *
   * @param beforeMs Time, in milliseconds since the epoch.
   * @returns The number of batches removed.
   */
  async removeEnded(beforeMs: number): Promise<Result<number, StoreFailure>> {
    const ended = await this.#store.readPrefix(ENDED_PREFIX, OPTIONS);
    if (ended.isErr()) return err(ended.error);
    const due = ended.value.filter(({ value }) => Number(value) < beforeMs);
    for (const pointer of due) {
      const id = pointer.key.slice(ENDED_PREFIX.length);
      const held = await this.#store.readPrefix(
        `${BATCH_PREFIX}${id}/`,
        OPTIONS,
      );
      if (held.isErr()) return err(held.error);
      const isHead = ({ key }: StoreEntry) => key === toHeadKey(id);
      const inOrder = [
        ...held.value.filter((entry) => !isHead(entry)),
        ...held.value.filter(isHead),
      ];
      for (const { key, revision } of [...inOrder, pointer]) {
        const swap = { key, expectedRevision: revision, value: undefined };
        const removed = await this.#store.swap(swap, OPTIONS);
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
      OPTIONS,
    );
    // The id stands for the content: a pack that is there already is the same one.
    if (swapped.isOk()) return ok(undefined);
    if (swapped.error.kind !== "unknown") return err(swapped.error);
    const read = await this.#store.read(key, OPTIONS);
    if (read.isErr()) return err(read.error);
    return read.value?.value === value ? ok(undefined) : err(swapped.error);
  }

  async #point(id: string): Promise<Result<void, StoreFailure>> {
    const key = OPEN_PREFIX + id;
    const swapped = await this.#store.swap({
      key,
      expectedRevision: 0,
      value: "{}",
    }, OPTIONS);
    if (swapped.isOk()) return ok(undefined);
    if (swapped.error.kind !== "unknown") return err(swapped.error);
    const read = await this.#store.read(key, OPTIONS);
    if (read.isErr()) return err(read.error);
    return read.value === undefined ? err(swapped.error) : ok(undefined);
  }
}

function checkSame(
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
