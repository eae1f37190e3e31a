import type { Place } from "./choose_place.ts";
import { type Exchange, isRepeatable, isResumableNow } from "./exchange.ts";
import type { Refusal } from "./refusal.ts";
import type { EndedOutcome } from "./run_attempt.ts";

/** When to come back after a refusal for want of room, in milliseconds. */
export const NO_ROOM_RETRY_MS = 150;

/** A place that a call was sent to. */
export type SentPlace = Extract<Place, { readonly kind: "here" | "away" }>;

/** What follows an attempt. */
export type NextStep =
  /** The answer is with the caller. */
  | { readonly kind: "done" }
  /** A place is chosen again: no byte of the call left. */
  | { readonly kind: "choose-again" }
  /** The call may be sent once more, within its attempts and the shared budget; else it is refused. */
  | { readonly kind: "repeat"; readonly refusal: Refusal }
  /** The call may have run and must not run twice. */
  | { readonly kind: "end"; readonly refusal: Refusal };

/**
 * Decides what follows an attempt, and records in the exchange what it cost.
 *
 * A call is sent a second time only where nothing can run twice: a server said
 * that it did not run it, or the call may be repeated and what its caller has
 * of an answer can be gone on from.
 *
 * @param exchange The call; its attempts, and places to avoid, are updated.
 * @param place Where it was sent.
 * @param outcome How that ended.
 */
export function settleAttempt(
  exchange: Exchange,
  place: SentPlace,
  outcome: EndedOutcome,
): NextStep {
  switch (outcome.kind) {
    case "answered":
      return { kind: "done" };
    case "given-up":
      exchange.mayHaveRun = true;
      // Time is over or the caller is gone: whoever chooses again sees it.
      return { kind: "choose-again" };
    case "not-sent":
      avoidInstance(exchange, place);
      return { kind: "choose-again" };
    case "rejected":
      if (place.kind === "away") {
        exchange.avoidedRegions.add(place.region);
        exchange.attemptsLeft -= outcome.sends;
      } else if (!outcome.isOtherServer) exchange.attemptsLeft--;
      return {
        kind: "repeat",
        refusal: {
          reason: "rejected",
          message: "A server refused the call without running it",
          retryAfterMs: NO_ROOM_RETRY_MS,
        },
      };
    case "failed":
      exchange.heldAnswer = outcome.answer;
      exchange.attemptsLeft--;
      exchange.mayHaveRun = true;
      return {
        kind: isRepeatable(exchange) ? "repeat" : "end",
        refusal: { reason: "no-answer", message: "A server failed" },
      };
    case "no-answer":
    case "broken": {
      exchange.attemptsLeft--;
      exchange.mayHaveRun = true;
      avoidInstance(exchange, place);
      const mayRepeat = isRepeatable(exchange) && isResumableNow(exchange);
      return {
        kind: mayRepeat ? "repeat" : "end",
        refusal: {
          reason: "no-answer",
          message: "A server had the call and gave no whole answer",
        },
      };
    }
  }
}

/**
 * Records what an offer cost that another place did not take on.
 *
 * @param exchange The call, which its first place still has.
 * @param place Where it was offered.
 * @param outcome How that ended.
 */
export function settleOffer(
  exchange: Exchange,
  place: SentPlace,
  outcome: EndedOutcome,
): void {
  // A server from which the call was taken back may have run it.
  if (outcome.kind === "given-up") exchange.attemptsLeft--;
  settleAttempt(exchange, place, outcome);
}

/** Leaves the instance that a call was forwarded to out of its next choices. */
export function avoidInstance(exchange: Exchange, place: SentPlace): void {
  if (place.kind === "away") exchange.avoidedInstances.add(place.member.id);
}
