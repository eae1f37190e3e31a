import type { RawHeaders } from "./call_header_codec.ts";
import type { Hop } from "./hop_headers.ts";
import type { AnswerHead } from "./server_client.ts";

/** Who sent a call to this instance. */
export type CallOrigin =
  | { readonly kind: "caller" }
  /** The instance that the caller reached. A forwarded call is not forwarded again. */
  | { readonly kind: "instance"; readonly hop: Hop };

/** What is known of a call before its body is read. */
export interface CallHead {
  /** Path and query, as sent. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly origin: CallOrigin;
}

/** A call that was received in full, and whose body is not interpreted. */
export interface OpaqueCall extends CallHead {
  readonly method: string;
  readonly body: Buffer;
  /**
   * Earliest time at which the call may have arrived, in milliseconds on this instance's
   * clock: the time at which its head was read, minus `unreadMs`.
   */
  readonly receivedMs: number;
  /** Longest time for which the call may have waited to be read, in milliseconds. */
  readonly unreadMs: number;
}

/** Destination of the answer to a call. */
export interface CallSink {
  /** Aborts when the connection closes before the whole answer is sent, with who closed it. */
  readonly signal: AbortSignal;
  /** Sends the head of the answer. */
  begin(head: AnswerHead): void;
  /**
   * Writes a part of the body.
   *
   * @returns `false` if the caller reads too slowly; the next write should wait for `onDrain`.
   */
  write(chunk: Buffer): boolean;
  /** Calls back once when more can be written. */
  onDrain(callback: () => void): void;
  /** Ends a complete answer. */
  end(trailers: RawHeaders): void;
  /** Ends an incomplete answer so that the caller can tell that it is incomplete. */
  abort(): void;
}
