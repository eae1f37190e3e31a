import type { BatchAnswer } from "./batch_document.ts";

/** Answers by position in a pack. */
export type AnswerMap = Readonly<Record<string, BatchAnswer>>;

/**
 * Returns the answers with new ones added. An item that has an answer keeps
 * it: whoever worked on it as well comes too late.
 *
 * @param known What the store holds.
 * @param added What a worker brings.
 * @returns `undefined` if nothing is new.
 */
export function mergeAnswers(
  known: AnswerMap,
  added: AnswerMap,
): AnswerMap | undefined {
  const news = Object.entries(added).filter(([position]) =>
    known[position] === undefined
  );
  return news.length === 0
    ? undefined
    : { ...known, ...Object.fromEntries(news) };
}
