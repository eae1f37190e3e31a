import type { AttemptId, Incarnation, RunKey } from "../ids/mod.ts";

/** A stored answer, which is returned when the request is repeated. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** How a run ended. */
export type RunEnd =
  /** The run took place. The answer is stored if its size and residency allow. */
  | { readonly kind: "ran"; readonly answer: KeptAnswer | undefined }
  /** The run certainly did not take place, so the key may be used again. */
  | { readonly kind: "not-run" }
  /** The run may or may not have taken place. */
  | { readonly kind: "unknown" };

/** A request to begin a run. */
export interface Run {
  readonly key: RunKey;
  /** Hash of the request. A request with another hash under the same key is refused. */
  readonly bodyHash: string;
  readonly attempt: AttemptId;
  /** Incarnation of the instance that runs the attempt. */
  readonly holder: Incarnation;
  /** Deadline of the request, in milliseconds since the epoch. */
  readonly dueMs: number;
}

/** What the journal records of a run. */
export interface RunRecord extends Run {
  /** Time at which the run was granted, in milliseconds since the epoch. */
  readonly begunMs: number;
  /** End of the run; `undefined` as long as none is recorded. */
  readonly end: RunEnd | undefined;
}

/** The journal's answer to a request to begin a run. */
export type BeginOutcome =
  /** The record is stored: this attempt, and no other, may be dispatched. */
  | { readonly kind: "granted" }
  /** The run took place, and its answer is stored. */
  | { readonly kind: "kept"; readonly answer: KeptAnswer }
  /** The run took place, but its answer is not stored. */
  | { readonly kind: "not-kept" }
  /** Another attempt under the key may still be running. */
  | { readonly kind: "in-progress" }
  /** The run may have taken place; its end is not known. */
  | { readonly kind: "unknown" }
  /** The key belongs to another request. */
  | { readonly kind: "mismatch" };

/** What to do about a request to begin a run. */
export type BeginDecision =
  /** Write a record, and dispatch only once the store is known to hold it. */
  | { readonly kind: "claim" }
  | BeginOutcome;

/** How long after its deadline a run without an end still counts as running, in milliseconds. */
export const RUN_DEADLINE_GRACE_MS = 5_000;

/** Options of {@linkcode decideBegin}. */
export interface DecideBeginOptions {
  /** Returns whether a holder is known to be dead. Default: always `false`. */
  readonly isDead?: (holder: Incarnation) => boolean;
}

/**
 * Decides whether a run may begin, from the record that the journal has under
 * its key.
 *
 * @param existing Record under the key; `undefined` if there is none.
 * @param run The run to begin.
 * @param nowMs Current time, in milliseconds since the epoch.
 * @param options Which holders are dead.
 */
export function decideBegin(
  existing: RunRecord | undefined,
  run: Run,
  nowMs: number,
  options: DecideBeginOptions = {},
): BeginDecision {
  if (existing === undefined) return { kind: "claim" };
  if (existing.attempt === run.attempt && existing.end === undefined) {
    return { kind: "granted" };
  }
  if (existing.bodyHash !== run.bodyHash) return { kind: "mismatch" };
  if (existing.end === undefined) {
    const isHolderDead = options.isDead?.(existing.holder) ?? false;
    const isAbandoned = isHolderDead ||
      nowMs > existing.dueMs + RUN_DEADLINE_GRACE_MS;
    return isAbandoned ? { kind: "unknown" } : { kind: "in-progress" };
  }
  switch (existing.end.kind) {
    case "not-run":
      return existing.attempt === run.attempt
        ? { kind: "unknown" }
        : { kind: "claim" };
    case "unknown":
      return { kind: "unknown" };
    case "ran":
      return existing.end.answer === undefined
        ? { kind: "not-kept" }
        : { kind: "kept", answer: existing.end.answer };
  }
}

/**
 * Returns the record with its end added; `undefined` if the end must not be
 * written because there is no record, the record belongs to another attempt, or
 * it has an end already.
 *
 * @param existing Record under the key; `undefined` if there is none.
 * @param attempt Attempt that ended.
 * @param end How the attempt ended.
 */
export function applyEnd(
  existing: RunRecord | undefined,
  attempt: AttemptId,
  end: RunEnd,
): RunRecord | undefined {
  if (
    existing === undefined || existing.attempt !== attempt ||
    existing.end !== undefined
  ) {
    return undefined;
  }
  return { ...existing, end };
}
