import type { RawHeaders } from "./call_header_codec.ts";
import type { Handover } from "./handover.ts";
import type { RefusalReason } from "./refusal.ts";
import type { AnswerHead } from "./server_client.ts";

/** How one send of a call ended. */
export type AttemptOutcome =
  /** The complete answer was passed on. */
  | { readonly kind: "answered"; readonly status: number }
  /** The server answered with a failure, which is held back because the call may be retried. */
  | { readonly kind: "failed"; readonly answer: HeldAnswer }
  /** No byte of the call was sent. */
  | {
    readonly kind: "not-sent";
    readonly message: string;
    /** Whether a limit of this instance is the reason. Default: no. */
    readonly isOwnLimit?: boolean | undefined;
  }
  /** The server or the remote instance reported that the call did not run. */
  | Rejection
  /** The call may have run; this send passed on no part of an answer. */
  | (IncompleteAnswer & { readonly kind: "no-answer" })
  /** Only a part of the answer was passed on. */
  | (IncompleteAnswer & { readonly kind: "broken" })
  /** The send was aborted: the caller left, the deadline passed, or the handover was cancelled. */
  | { readonly kind: "given-up" }
  /** A second destination has the call; `firstOutcome` is that of the first one. */
  | {
    readonly kind: "handed-over";
    readonly firstOutcome: EndedOutcome;
    readonly handover: Handover;
  };

/** A send whose call was refused without having run. */
export interface Rejection {
  readonly kind: "rejected";
  readonly isMisdirected: boolean;
  /** Cool-down that the server requests from this instance, in milliseconds. Default: none. */
  readonly cooldownMs?: number | undefined;
  /** Number of servers that refused the call. */
  readonly sends: number;
  /** Why another instance refused the call. Default: a server refused it, or the instance did not tell. */
  readonly reason?: RefusalReason | undefined;
}

/** Why there is no complete answer. */
export interface IncompleteAnswer {
  readonly message: string;
  /** Whether the other side closed the connection during the call. Default: no. */
  readonly isClosed?: boolean;
}

/** How a send ended that was not handed over. */
export type EndedOutcome = Exclude<
  AttemptOutcome,
  { readonly kind: "handed-over" }
>;

/** An answer that was read in full and has not been passed on. */
export interface HeldAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly trailers: RawHeaders;
}
