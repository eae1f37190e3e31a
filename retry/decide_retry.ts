import type { DispatchFailure } from "../engine/mod.ts";

/** Input of a retry decision. */
export interface RetryRequest {
  readonly failure: DispatchFailure;
  readonly isIdempotent: boolean;
  /** Time left until the deadline, in milliseconds. */
  readonly leftMs: number;
  /** Attempts made so far. */
  readonly attempts: number;
  /** Takes one retry from the budget, and returns whether there was one; called last. */
  readonly admitRetry: () => boolean;
}

/** Maximum number of attempts for one request. */
export const MAX_ATTEMPTS = 3;
const MIN_LEFT_MS = 20;

/**
 * Decides whether one more attempt may be made at another server. Work that may
 * have run is retried only if it is idempotent; every retry must fit into the
 * deadline and the retry budget.
 *
 * @param request Failure and limits.
 */
export function decideRetry(request: RetryRequest): boolean {
  if (request.attempts >= MAX_ATTEMPTS || request.leftMs < MIN_LEFT_MS) {
    return false;
  }
  const hasNotRun = request.failure.kind !== "broken";
  return (hasNotRun || request.isIdempotent) && request.admitRetry();
}
