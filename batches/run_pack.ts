import { type Clock, waitFor } from "../clock/mod.ts";
import {
  createFailure,
  readRow,
  RESULT_CODES,
  toErrorBody,
} from "../results/mod.ts";
import type { BatchAnswer, BatchItem } from "./batch_document.ts";
import type { AnswerMap } from "./merge_answers.ts";

/** How one try of an item ended. */
export interface ItemOutcome {
  readonly status: number;
  /** Number of the result code; 0 for an answer. */
  readonly code: number;
  readonly body: unknown;
}

/** What running a pack needs. */
export interface RunPackParts {
  readonly clock: Clock;
  /** Runs one item; the position is that in the batch. */
  readonly runItem: (item: BatchItem, position: number) => Promise<ItemOutcome>;
  /** Saves answers; `false` when the pack is no longer this worker's. */
  readonly save: (answers: AnswerMap) => Promise<boolean>;
  /** Whether more items may be started: not when the instance is leaving. */
  readonly mayStart: () => boolean;
  readonly signal: AbortSignal;
}

/** A pack to run. */
export interface PackWork {
  readonly items: readonly BatchItem[];
  /** Position of the first item in the batch. */
  readonly offset: number;
  /** What is answered already. */
  readonly answers: AnswerMap;
  readonly dueMs: number;
}

const CONCURRENCY = 8;
const SAVE_INTERVAL_MS = 2_000;
const RETRY_PAUSE_MS = 500;
/** An item whose end stays unknown is tried so often, if it is idempotent. */
const UNKNOWN_TRIES = 3;
const IN_PROGRESS = RESULT_CODES.RUN_IN_PROGRESS.code;
const FINAL_CODES: readonly number[] = Object.values(RESULT_CODES)
  .filter(({ retry }) => retry === "never").map(({ code }) => code);

/**
 * Runs the items of a pack that have no answer, some at a time, and saves
 * answers at an interval. Ends early when the claim is lost.
 *
 * @param parts How to run and save.
 * @param work The pack.
 * @returns Whether every item has an answer that is saved.
 */
export async function runPack(
  parts: RunPackParts,
  work: PackWork,
): Promise<boolean> {
  const open = work.items.map((_, position) => position)
    .filter((position) => work.answers[position] === undefined);
  const unsaved = new Map<number, BatchAnswer>();
  let isOurs = true;
  let savedMs = parts.clock.nowMs();
  const save = async () => {
    const batch = [...unsaved];
    if (batch.length === 0) return;
    savedMs = parts.clock.nowMs();
    isOurs = await parts.save(Object.fromEntries(batch));
    if (isOurs) batch.forEach(([position]) => unsaved.delete(position));
  };
  const runNext = async (): Promise<void> => {
    while (isOurs && !parts.signal.aborted && parts.mayStart()) {
      const position = open.shift();
      if (position === undefined) return;
      const answer = await runToEnd(parts, work, position, () => isOurs);
      if (answer === undefined) return;
      unsaved.set(position, answer);
      if (parts.clock.nowMs() - savedMs >= SAVE_INTERVAL_MS) await save();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runNext));
  if (isOurs) await save();
  return isOurs && open.length === 0 && unsaved.size === 0 &&
    !parts.signal.aborted;
}

/** Tries an item until it has an answer, or can have none. */
async function runToEnd(
  parts: RunPackParts,
  work: PackWork,
  position: number,
  isOurs: () => boolean,
): Promise<BatchAnswer | undefined> {
  const item = work.items[position]!;
  let unknownTries = 0;
  while (isOurs() && !parts.signal.aborted) {
    const outcome = await parts.runItem(item, work.offset + position);
    // What broke off since this instance ends is for the next worker, not an answer.
    if (parts.signal.aborted) return undefined;
    const answer = {
      custom_id: item.custom_id,
      status: outcome.status,
      body: outcome.body,
    };
    if (outcome.code === 0 || FINAL_CODES.includes(outcome.code)) return answer;
    const row = Object.values(RESULT_CODES).find(({ code }) =>
      code === outcome.code
    );
    if (row?.ran !== "not-run" && outcome.code !== IN_PROGRESS) unknownTries++;
    if (unknownTries >= UNKNOWN_TRIES) return answer;
    if (parts.clock.nowMs() >= work.dueMs) return createLate(item);
    await waitFor(parts.clock, RETRY_PAUSE_MS, parts.signal);
  }
  return undefined;
}

function createLate(item: BatchItem): BatchAnswer {
  const failure = createFailure(
    "DEADLINE_PASSED",
    "The batch was not done by its deadline",
  );
  return {
    custom_id: item.custom_id,
    status: readRow(failure).status,
    body: toErrorBody(failure),
  };
}
