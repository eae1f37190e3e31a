import type { BackendId } from "../ids/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./attempt_outcome.ts";
import type { Exchange } from "./exchange.ts";
import type { SendDestination } from "./settle_attempt.ts";

/**
 * Why a call is sent once more:
 *
 * - `not-sent`: no byte of it was sent before.
 * - `misdirected`: another server answered at the address of the chosen one.
 * - `rejected`: a server said that it did not run the call.
 * - `refused`: another instance said that no server has run the call.
 * - `failed`: a server failed, and the call may run again.
 * - `no-answer`: there was no whole answer, and the call may run again.
 * - `handover`: the destination before is silent and still has the call.
 */
export type RepeatReason =
  | "not-sent"
  | "misdirected"
  | "rejected"
  | "refused"
  | "failed"
  | "no-answer"
  | "handover";

/** One send of a call, as the log names it. */
export interface NumberedSend {
  /** Number of the send among those of this instance for the call, from 1. */
  readonly number: number;
  readonly destination: SendDestination;
  /** Why it is not the first one; `undefined`: it is. */
  readonly reason: RepeatReason | undefined;
  readonly startMs: number;
  /** Servers that another instance sent the call to, as far as it told. */
  servers: readonly BackendId[];
}

/** Returns why a call is sent once more after a send, or `undefined` if it is not. */
export function toRepeatReason(
  { kind }: SendDestination,
  outcome: EndedOutcome,
): RepeatReason | undefined {
  switch (outcome.kind) {
    case "not-sent":
    case "failed":
    case "no-answer":
      return outcome.kind;
    case "broken":
      return "no-answer";
    case "rejected":
      if (kind === "remote") return "refused";
      return outcome.isMisdirected ? "misdirected" : "rejected";
    case "answered":
    case "given-up":
      return undefined;
  }
}

/** Numbers a send that begins now. */
export function beginNumberedSend(
  exchange: Exchange,
  { destination, nowMs, reason = exchange.repeatReason }: {
    readonly destination: SendDestination;
    readonly nowMs: number;
    /** Default: the end of the send before. */
    readonly reason?: RepeatReason | undefined;
  },
): NumberedSend {
  exchange.sends++;
  return {
    number: exchange.sends,
    destination,
    reason,
    startMs: nowMs,
    servers: [],
  };
}

/** Returns the end of a send itself, whether or not another destination has the call then. */
export function toEndedOutcome(outcome: AttemptOutcome): EndedOutcome {
  return outcome.kind === "handed-over" ? outcome.firstOutcome : outcome;
}
