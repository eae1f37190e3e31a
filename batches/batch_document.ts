import type { ChangeLog } from "../store/mod.ts";

/** One item of a batch, as a caller gives it. */
export interface BatchItem {
  /** Name that the caller finds its answer by. */
  readonly custom_id: string;
  /** Path of the call, such as `/v1/chat/completions`. */
  readonly url: string;
  readonly method: "POST" | "PUT" | "PATCH" | "DELETE" | "GET";
  readonly body: Readonly<Record<string, unknown>>;
  /** Runs at most once, through the run journal. */
  readonly non_idempotent: boolean;
}

/** The answer to one item. */
export interface BatchAnswer {
  readonly custom_id: string;
  readonly status: number;
  readonly body: unknown;
}

/** The head of a batch. Once it is in the store, the batch is accepted. */
export interface BatchHead extends ChangeLog {
  readonly id: string;
  readonly team: string;
  /** Services that its items call: their residency is that of the batch. */
  readonly services: readonly string[];
  readonly createdMs: number;
  /** After it, items that have no answer get a refusal as theirs. */
  readonly dueMs: number;
  readonly itemCount: number;
  /** Items of each pack. */
  readonly packSizes: readonly number[];
  readonly state: "open" | "cancelled" | "done";
  /** When it was done or cancelled. */
  readonly endedMs: number;
  /** Hash of the submission, so that another one under the key is refused. */
  readonly bodyHash: string;
}

/** Some items of a batch, in one value of the store. */
export interface BatchPack {
  readonly items: readonly BatchItem[];
}

/** The answers to the items of a pack, by their position in it. */
export interface PackAnswers extends ChangeLog {
  readonly answers: Readonly<Record<string, BatchAnswer>>;
}

/** Prefix of everything of all batches. */
export const BATCH_PREFIX = "/havenspur/batch/";
/** Prefix of the pointers to batches that have ended; the value is when. */
export const ENDED_PREFIX = "/havenspur/batch-ended/";
/** Prefix of the pointers to open batches. */
export const OPEN_PREFIX = "/havenspur/batch-open/";

/** Returns the key of the head. */
export const toHeadKey = (id: string): string => `${BATCH_PREFIX}${id}/head`;
/** Returns the key of a pack. */
export const toPackKey = (id: string, pack: number): string =>
  `${BATCH_PREFIX}${id}/items/${toDigits(pack)}`;
/** Returns the key of the answers to a pack. */
export const toAnswersKey = (id: string, pack: number): string =>
  `${toAnswersPrefix(id)}${toDigits(pack)}`;
/** Returns the prefix of all answers of a batch. */
export const toAnswersPrefix = (id: string): string =>
  `${BATCH_PREFIX}${id}/answers/`;
/** Returns the key that the claim of a pack is held under. */
export const toClaimKey = (id: string, pack: number): string =>
  `${BATCH_PREFIX}${id}/claims/${toDigits(pack)}`;

function toDigits(pack: number): string {
  return String(pack).padStart(5, "0");
}
