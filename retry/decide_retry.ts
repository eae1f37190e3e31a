import type { DispatchFailure } from "../engine/mod.ts";

/** What a retry is decided on. */
export interface RetryRequest {
  readonly failure: DispatchFailure;
  readonly isIdempotent: boolean;
  readonly leftMs: number;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Takes one retry off the budget; asked last. */
  readonly admitRetry: () => boolean;
}

/** Most attempts of one request. */
export const MAX_ATTEMPTS = 3;
const SHORTEST_LEFT_MS = 20;

/**
 * Decides whether one more attempt may be made elsewhere. Work that may have
 * run is repeated only if it is idempotent; every further attempt is within
 * the deadline and the retry budget.
 *
 * @param request Failure and bounds.
 */
export function decideRetry(request: RetryRequest): boolean {
  if (request.attempts >= MAX_ATTEMPTS || request.leftMs < SHORTEST_LEFT_MS) {
    return false;
  }
  const hasNotRun = request.failure.kind !== "broken";
  return (hasNotRun || request.isIdempotent) && request.admitRetry();
}
