import type { AttemptId, Incarnation, RunKey } from "../ids/mod.ts";

/** An answer that is kept, to be returned again. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** How a run ended. */
export type RunEnd =
  /** It ran; the answer is kept where size and residency allow. */
  | { readonly kind: "ran"; readonly answer: KeptAnswer | undefined }
  /** It did not run, for certain: the key may be used again. */
  | { readonly kind: "not-run" }
  /** It may have run. */
  | { readonly kind: "unknown" };

/** A run that wants to begin. */
export interface Run {
  readonly key: RunKey;
  /** Hash of the request, so that another body under the key is refused. */
  readonly bodyHash: string;
  readonly attempt: AttemptId;
  readonly holder: Incarnation;
  /** When the request is due, in milliseconds since the epoch. */
  readonly dueMs: number;
}

/** What the journal holds of a run. */
export interface RunRecord extends Run {
  readonly begunMs: number;
  /** `undefined` while it runs. */
  readonly end: RunEnd | undefined;
}

/** The answer to one that wants to begin a run. */
export type BeginOutcome =
  /** The entry is in: this attempt, and no other, may dispatch. */
  | { readonly kind: "granted" }
  | { readonly kind: "kept"; readonly answer: KeptAnswer }
  | { readonly kind: "not-kept" }
  | { readonly kind: "in-progress" }
  | { readonly kind: "unknown" }
  | { readonly kind: "mismatch" };

/** What to do about a run that wants to begin. */
export type BeginDecision =
  /** Write the record, and dispatch only when the write is known to be in. */
  | { readonly kind: "claim" }
  | BeginOutcome;

/** How long after its deadline a run without an end counts as running. */
export const END_MARGIN_MS = 5_000;

/** Optional parts of a decision. */
export interface DecideBeginOptions {
  /** Whether a holder is known to be gone. Default: never. */
  readonly isGone?: (holder: Incarnation) => boolean;
}

/**
 * Decides whether a run may begin, from what the journal holds under its key.
 *
 * @param known What is held; `undefined` for nothing.
 * @param run The run that wants to begin.
 * @param nowMs Time now.
 * @param options Knowledge of holders.
 */
export function decideBegin(
  known: RunRecord | undefined,
  run: Run,
  nowMs: number,
  options: DecideBeginOptions = {},
): BeginDecision {
  if (known === undefined) return { kind: "claim" };
  if (known.attempt === run.attempt && known.end === undefined) {
    return { kind: "granted" };
  }
  if (known.bodyHash !== run.bodyHash) return { kind: "mismatch" };
  if (known.end === undefined) {
    const isGone = options.isGone?.(known.holder) ?? false;
    const isOver = isGone || nowMs > known.dueMs + END_MARGIN_MS;
    return isOver ? { kind: "unknown" } : { kind: "in-progress" };
  }
  switch (known.end.kind) {
    case "not-run":
      return known.attempt === run.attempt
        ? { kind: "unknown" }
        : { kind: "claim" };
    case "unknown":
      return { kind: "unknown" };
    case "ran":
      return known.end.answer === undefined
        ? { kind: "not-kept" }
        : { kind: "kept", answer: known.end.answer };
  }
}

/**
 * Returns the record with its end; `undefined` where the end must not be
 * written: it is not of this attempt, or there is one already.
 *
 * @param known What is held.
 * @param attempt Whose end it is.
 * @param end How it ended.
 */
export function applyEnd(
  known: RunRecord | undefined,
  attempt: AttemptId,
  end: RunEnd,
): RunRecord | undefined {
  if (
    known === undefined || known.attempt !== attempt || known.end !== undefined
  ) {
    return undefined;
  }
  return { ...known, end };
}
