import type { EndedOutcome } from "./attempt_outcome.ts";
import type { Destination } from "./choose_destination.ts";
import type { BackendId } from "../ids/mod.ts";
import { type Exchange, isResumableNow, isRetryable } from "./exchange.ts";
import type { Refusal, RefusalReason } from "./refusal.ts";

/** When callers may retry after a refusal for lack of capacity, in milliseconds. */
export const NO_CAPACITY_RETRY_MS = 150;

/** A server or a remote instance that a call can be sent to. */
export type SendDestination = Extract<
  Destination,
  { readonly kind: "local" | "remote" }
>;

/** What happens after an attempt. */
export type NextStep =
  /** The caller has the answer. */
  | { readonly kind: "done" }
  /** Another destination is chosen, without the use of a retry. */
  | { readonly kind: "choose-again" }
  /** The call is retried if its attempts and the shared retry budget allow it, and refused otherwise. */
  | { readonly kind: "retry"; readonly refusal: Refusal }
  /** The call is refused: it may have run and must not run twice. */
  | { readonly kind: "end"; readonly refusal: Refusal };

/**
 * Decides what happens after an attempt, and records in the exchange what the attempt cost.
 *
 * A call is sent a second time only if it cannot do harm by running twice: either a server
 * reported that it did not run the call, or the call is retryable and the part of the
 * answer that the caller already has can be continued.
 *
 * @param exchange The call; its attempts and the destinations to avoid are updated.
 * @param destination Where the call was sent.
 * @param outcome How the attempt ended.
 */
export function settleAttempt(
  exchange: Exchange,
  destination: SendDestination,
  outcome: EndedOutcome,
): NextStep {
  switch (outcome.kind) {
    case "answered":
      return { kind: "done" };
    case "given-up":
      exchange.mayHaveRun = true;
      // The deadline has passed or the caller has disconnected: the exchange's signal is
      // aborted, and no other destination is chosen.
      return { kind: "choose-again" };
    case "not-sent":
      avoidInstance(exchange, destination);
      if (destination.kind === "local") {
        recordUnreached(exchange, destination.candidate.server.entry.id);
      }
      return { kind: "choose-again" };
    case "rejected":
      if (destination.kind === "remote") {
        if (outcome.sends === 0) {
          avoidRefuser(exchange, destination, outcome.reason);
          return { kind: "choose-again" };
        }
        exchange.avoidedRegions.add(destination.region);
        exchange.attemptsLeft -= outcome.sends;
      } else if (!outcome.isMisdirected) exchange.attemptsLeft--;
      return {
        kind: "retry",
        refusal: {
          reason: "rejected",
          message: "A server refused the call without running it",
          retryAfterMs: NO_CAPACITY_RETRY_MS,
        },
      };
    case "failed":
      exchange.heldAnswer = outcome.answer;
      exchange.attemptsLeft--;
      exchange.mayHaveRun = true;
      return {
        kind: isRetryable(exchange) ? "retry" : "end",
        refusal: { reason: "no-answer", message: "A server failed" },
      };
    case "no-answer":
    case "broken": {
      exchange.attemptsLeft--;
      exchange.mayHaveRun = true;
      avoidInstance(exchange, destination);
      const canRetry = isRetryable(exchange) && isResumableNow(exchange);
      return {
        kind: canRetry ? "retry" : "end",
        refusal: {
          reason: "no-answer",
          message: "A server had the call and gave no whole answer",
        },
      };
    }
  }
}

/**
 * Records what a handover cost that the second destination did not accept.
 *
 * @param exchange The call, which the first destination still has.
 * @param destination The second destination.
 * @param outcome How the send to the second destination ended.
 */
export function settleHandover(
  exchange: Exchange,
  destination: SendDestination,
  outcome: EndedOutcome,
): void {
  if (outcome.kind === "given-up") {
    // A server whose send was cancelled may have run the call.
    exchange.attemptsLeft--;
    if (destination.kind === "local") {
      exchange.withdrawn.add(destination.candidate.server.entry.id);
    } else {
      const { member, region } = destination;
      exchange.withdrawnInstances.set(member.id, region);
      exchange.avoidedRegions.add(region);
    }
  }
  settleAttempt(exchange, destination, outcome);
}

/** Records that no byte of a call reached a server, which counts as no send to it. */
function recordUnreached(exchange: Exchange, server: BackendId): void {
  exchange.tried.delete(server);
  exchange.sentTo = exchange.sentTo.filter((id) => id !== server);
  exchange.unreached.add(server);
}

/**
 * Excludes who refused a call that no server had. If an instance reaches no server or is behind,
 * others of its region may serve the call; what else it refuses for holds for its region.
 */
function avoidRefuser(
  exchange: Exchange,
  destination: Extract<SendDestination, { readonly kind: "remote" }>,
  reason: RefusalReason | undefined,
): void {
  const concernsInstance = reason === "unreachable" || reason === "behind";
  if (concernsInstance) avoidInstance(exchange, destination);
  else exchange.avoidedRegions.add(destination.region);
}

/** Excludes the remote instance that a call was forwarded to from its next choices. */
export function avoidInstance(
  exchange: Exchange,
  target: SendDestination,
): void {
  if (target.kind === "remote") exchange.avoidedInstances.add(target.member.id);
}
