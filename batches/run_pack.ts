import { type Clock, waitFor } from "../clock/mod.ts";
import {
  createFailure,
  readRow,
  RESULT_CODES,
  toErrorBody,
} from "../results/mod.ts";
import type { BatchAnswer, BatchItem } from "./batch_document.ts";
import type { AnswerMap } from "./merge_answers.ts";

/** Outcome of one attempt to run an item. */
export interface ItemOutcome {
  readonly status: number;
  /** Number of the result code; 0 if the item got an answer. */
  readonly code: number;
  readonly body: unknown;
}

/** What {@linkcode runPack} needs to run a pack. */
export interface RunPackParts {
  readonly clock: Clock;
  /** Runs one item once. The position is that in the batch. */
  readonly runItem: (item: BatchItem, position: number) => Promise<ItemOutcome>;
  /** Saves answers. Returns `false` if the pack is no longer this worker's; the worker then stops. */
  readonly save: (answers: AnswerMap) => Promise<boolean>;
  /** Returns whether more items may be started; `false` during the graceful shutdown of the instance. */
  readonly canStart: () => boolean;
  readonly signal: AbortSignal;
}

/** A pack to run. */
export interface PackWork {
  readonly items: readonly BatchItem[];
  /** Position of the first item in the batch. */
  readonly offset: number;
  /** Answers that are stored already. */
  readonly answers: AnswerMap;
  /** Deadline of the batch, in milliseconds since the epoch. */
  readonly dueMs: number;
}

const CONCURRENCY = 8;
const SAVE_INTERVAL_MS = 2_000;
const RETRY_PAUSE_MS = 500;
/** Maximum attempts at an idempotent item whose outcome stays unknown. */
const MAX_UNKNOWN_TRIES = 3;
const QUARANTINED = RESULT_CODES.CALL_QUARANTINED.code;
const IN_PROGRESS = RESULT_CODES.RUN_IN_PROGRESS.code;
const FINAL_CODES: readonly number[] = Object.values(RESULT_CODES)
  .filter(({ retry }) => retry === "never").map(({ code }) => code);

/**
 * Runs the items of a pack that have no answer, several at a time, and saves
 * answers at intervals. Stops early once the pack is no longer this worker's.
 *
 * @param parts How to run items and save answers.
 * @param work The pack.
 * @returns Whether every item has an answer that is saved.
 */
export async function runPack(
  parts: RunPackParts,
  work: PackWork,
): Promise<boolean> {
  const remaining = work.items.map((_, position) => position)
    .filter((position) => work.answers[position] === undefined);
  const unsaved = new Map<number, BatchAnswer>();
  let canContinue = true;
  let savedMs = parts.clock.nowMs();
  const save = async () => {
    const batch = [...unsaved];
    if (batch.length === 0) return;
    savedMs = parts.clock.nowMs();
    canContinue = await parts.save(Object.fromEntries(batch));
    if (canContinue) batch.forEach(([position]) => unsaved.delete(position));
  };
  const runNext = async (): Promise<void> => {
    while (canContinue && !parts.signal.aborted && parts.canStart()) {
      const position = remaining.shift();
      if (position === undefined) return;
      const end = await runItemUntilFinal(
        parts,
        work,
        position,
        () => canContinue,
      );
      switch (end.kind) {
        case "stopped":
          return;
        case "deferred":
          remaining.push(position);
          break;
        case "final":
          unsaved.set(position, end.answer);
          break;
      }
      if (parts.clock.nowMs() - savedMs >= SAVE_INTERVAL_MS) await save();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runNext));
  if (canContinue) await save();
  return canContinue && remaining.length === 0 && unsaved.size === 0 &&
    !parts.signal.aborted;
}

/** Why an item is no longer run. */
type ItemEnd =
  | { readonly kind: "final"; readonly answer: BatchAnswer }
  /** The item is refused as others like it crashed servers; the items after it come first. */
  | { readonly kind: "deferred" }
  /** The worker has to stop. */
  | { readonly kind: "stopped" };

/** Runs an item until its outcome is final, it is deferred, or the worker has to stop. */
async function runItemUntilFinal(
  parts: RunPackParts,
  work: PackWork,
  position: number,
  canContinue: () => boolean,
): Promise<ItemEnd> {
  const item = work.items[position]!;
  let unknownTries = 0;
  while (canContinue() && !parts.signal.aborted) {
    const outcome = await parts.runItem(item, work.offset + position);
    // An item that was interrupted because this instance stops is left to the next worker.
    if (parts.signal.aborted) return { kind: "stopped" };
    const answer = {
      custom_id: item.custom_id,
      status: outcome.status,
      body: outcome.body,
    };
    if (outcome.code === 0 || FINAL_CODES.includes(outcome.code)) {
      return { kind: "final", answer };
    }
    const row = Object.values(RESULT_CODES).find(({ code }) =>
      code === outcome.code
    );
    if (row?.ran !== "not-run" && outcome.code !== IN_PROGRESS) unknownTries++;
    if (unknownTries >= MAX_UNKNOWN_TRIES) return { kind: "final", answer };
    if (parts.clock.nowMs() >= work.dueMs) {
      return { kind: "final", answer: createDeadlineAnswer(item) };
    }
    await waitFor(parts.clock, RETRY_PAUSE_MS, parts.signal);
    if (outcome.code === QUARANTINED) return { kind: "deferred" };
  }
  return { kind: "stopped" };
}

function createDeadlineAnswer(item: BatchItem): BatchAnswer {
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
