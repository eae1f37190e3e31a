import type { ChangeLog } from "../store/mod.ts";

/** One item of a batch, as the caller submits it. */
export interface BatchItem {
  /** Name by which the caller finds the answer of the item. */
  readonly custom_id: string;
  /** Path of the call, such as `/v1/chat/completions`. */
  readonly url: string;
  readonly method: "POST" | "PUT" | "PATCH" | "DELETE" | "GET";
  readonly body: Readonly<Record<string, unknown>>;
  /** Whether the item must run at most once, which the run journal ensures. */
  readonly non_idempotent: boolean;
}

/** The answer to one item. */
export interface BatchAnswer {
  readonly custom_id: string;
  readonly status: number;
  readonly body: unknown;
}

/** The head of a batch. A batch is accepted once its head is in the store. */
export interface BatchHead extends ChangeLog {
  readonly id: string;
  readonly team: string;
  /** Services that the items call. Their residency applies to the batch. */
  readonly services: readonly string[];
  /** Time of the submission, in milliseconds since the epoch. */
  readonly createdMs: number;
  /**
   * Deadline, in milliseconds since the epoch. Items without an answer at the
   * deadline get a refusal as their answer.
   */
  readonly dueMs: number;
  readonly itemCount: number;
  /** Number of items in each pack. */
  readonly packSizes: readonly number[];
  readonly state: "open" | "cancelled" | "done";
  /** Time at which the batch was done or cancelled, in milliseconds since the epoch; 0 while it is open. */
  readonly endedMs: number;
  /** Hash of the submission. A submission with another hash under the same key is refused. */
  readonly bodyHash: string;
}

/** A chunk of the items of a batch, stored in one value of the store. */
export interface BatchPack {
  readonly items: readonly BatchItem[];
}

/** The answers to the items of a pack, by position in the pack. */
export interface PackAnswers extends ChangeLog {
  readonly answers: Readonly<Record<string, BatchAnswer>>;
}

/** Key prefix of all data of batches except the pointers. */
export const BATCH_PREFIX = "/havenspur/batch/";
/** Key prefix of the pointers to ended batches. The value is the time of the end, in milliseconds since the epoch. */
export const ENDED_PREFIX = "/havenspur/batch-ended/";
/** Key prefix of the pointers to open batches. */
export const OPEN_PREFIX = "/havenspur/batch-open/";

/** Returns the key of the head of a batch. */
export const toHeadKey = (id: string): string => `${BATCH_PREFIX}${id}/head`;
/** Returns the key of a pack. */
export const toPackKey = (id: string, pack: number): string =>
  `${BATCH_PREFIX}${id}/items/${toPaddedNumber(pack)}`;
/** Returns the key of the answers to a pack. */
export const toAnswersKey = (id: string, pack: number): string =>
  `${toAnswersPrefix(id)}${toPaddedNumber(pack)}`;
/** Returns the key prefix of all answers of a batch. */
export const toAnswersPrefix = (id: string): string =>
  `${BATCH_PREFIX}${id}/answers/`;
/** Returns the key of the claim on a pack. */
export const toClaimKey = (id: string, pack: number): string =>
  `${BATCH_PREFIX}${id}/claims/${toPaddedNumber(pack)}`;

function toPaddedNumber(pack: number): string {
  return String(pack).padStart(5, "0");
}
