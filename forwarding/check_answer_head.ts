import type { SendId } from "../ids/mod.ts";
import type { Rejection } from "./attempt_outcome.ts";
import type { AnswerFacts } from "./call_header_codec.ts";
import type { HopAnswer } from "./hop_headers.ts";

/** Why an answer is not taken for that of the call which waits for it. */
export type MismatchReason =
  /** It names another call. */
  | "names-another-call"
  /** It says that a call was not run, and names none: it may speak of an earlier request. */
  | "names-no-call"
  /** Its status promises that the call has not run, but its server does not say so. */
  | "unmarked-refusal"
  /** It comes from an instance, and was made for another send, or for none. */
  | "names-another-send"
  /** It is a success that is unsigned or content-encoded. */
  | "unsigned";

/** What the head of an answer shows about the call that waits for it. */
export type HeadVerdict =
  /** The answer is that of the call. */
  | { readonly kind: "matches" }
  /** The call has not run. */
  | { readonly kind: "not-run"; readonly rejection: Rejection }
  /** The other instance does not know whether the call has run. */
  | { readonly kind: "unknown"; readonly message: string }
  /** The answer proves nothing about the call, which may have run. */
  | {
    readonly kind: "mismatch";
    readonly reason: MismatchReason;
    readonly message: string;
  };

/** A send to another instance, and what this one says of its answer. */
export interface CheckedHop {
  readonly sendId: SendId;
  /** `undefined`: the answer does not say that it is an instance's. */
  readonly answer: HopAnswer | undefined;
}

/** The call that waits for an answer, and what the head of the answer says. */
export interface CheckedHead {
  /** The caller's id of the call; empty if it sent none. */
  readonly callId: string;
  readonly status: number;
  readonly facts: AnswerFacts;
  /** The send to another instance; `undefined` if the call was sent to a server. */
  readonly hop: CheckedHop | undefined;
}

/** Statuses with which the gateway guarantees callers that a call has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Returns what the head of an answer shows about the call that waits for it.
 *
 * A server may answer something else late, where the answer to the next call is expected. So
 * only an answer that names the call shows that it has not run. Calls without an id have no
 * name, and take each answer on their connection for their own.
 *
 * @param head The call, and what the head says.
 */
export function checkAnswerHead(
  { callId, facts, hop, status }: CheckedHead,
): HeadVerdict {
  const hopVerdict = hop && checkHop(hop);
  if (hopVerdict !== undefined) return hopVerdict;
  if (facts.callId !== undefined && facts.callId !== callId) {
    return toMismatch(
      "names-another-call",
      `The answer belongs to call "${facts.callId}"`,
    );
  }
  if (facts.isNotExecuted || facts.isMisdirected) {
    if (facts.callId === undefined && callId !== "") {
      return toMismatch(
        "names-no-call",
        `The answer ${status} says "not run" without naming a call`,
      );
    }
    return { kind: "not-run", rejection: toRejection(facts) };
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return toMismatch(
      "unmarked-refusal",
      `The server answered ${status} without saying that it did not run the call`,
    );
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!facts.isSigned || facts.isContentEncoded)) {
    return toMismatch(
      "unsigned",
      "The answer is unsigned or content-encoded, so not the server's own",
    );
  }
  return { kind: "matches" };
}

/** Returns what an instance's answer shows that is not the answer of a server. */
function checkHop({ answer, sendId }: CheckedHop): HeadVerdict | undefined {
  if (answer === undefined) {
    return toMismatch("names-another-send", "The answer is not an instance's");
  }
  if (answer.sendId !== undefined && answer.sendId !== sendId) {
    return toMismatch(
      "names-another-send",
      "The answer is that to another send",
    );
  }
  switch (answer.kind) {
    case "answered":
      return undefined;
    case "unknown":
      return { kind: "unknown", message: "The other instance got no answer" };
    case "not-run":
      return {
        kind: "not-run",
        rejection: {
          kind: "rejected",
          isMisdirected: false,
          sends: answer.tried.length,
          reason: answer.reason,
        },
      };
  }
}

function toRejection({ cooldownMs, isMisdirected }: AnswerFacts): Rejection {
  return { kind: "rejected", isMisdirected, cooldownMs, sends: 1 };
}

function toMismatch(reason: MismatchReason, message: string): HeadVerdict {
  return { kind: "mismatch", reason, message };
}
