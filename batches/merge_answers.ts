import type { BatchAnswer } from "./batch_document.ts";

/** Answers by position of the item in its pack. */
export type AnswerMap = Readonly<Record<string, BatchAnswer>>;

/**
 * Returns the answers with new ones added. An item that has an answer keeps it,
 * even if another worker has run the item too.
 *
 * @param existing Answers in the store.
 * @param added Answers of a worker.
 * @returns The merged answers; `undefined` if none of the added ones is new.
 */
export function mergeAnswers(
  existing: AnswerMap,
  added: AnswerMap,
): AnswerMap | undefined {
  const newEntries = Object.entries(added).filter(([position]) =>
    existing[position] === undefined
  );
  return newEntries.length === 0
    ? undefined
    : { ...existing, ...Object.fromEntries(newEntries) };
}
