import type { AnswerFraming } from "./answer_framing.ts";
import type { RawHeaders } from "./call_header_codec.ts";

/** One send of a call over a connection. */
export interface SendRequest {
  /** IP address and port. */
  readonly address: string;
  /** Id that all sends of the call bear; empty if its caller sent none. */
  readonly callId: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** Maximum number of open connections to the address. */
  readonly maxConnections: number;
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly statusText: string;
  readonly headers: RawHeaders;
  /** How the end of the body is told. Default: `length`. */
  readonly framing?: AnswerFraming;
}

/** Why a send got no complete answer. */
export interface SendFailure {
  /**
   * `not-sent`: no byte of the call was sent. After any other failure, the call may have run.
   * `closed`: the other side closed the connection during the call, as happens when a
   * server crashes.
   */
  readonly kind: "not-sent" | "closed" | "unknown";
  readonly message: string;
  /**
   * Whether a call was not sent because of a limit of this instance, such as that of its
   * connections, which shows nothing about the server. Default: no.
   */
  readonly isOwnLimit?: boolean;
}

/** Receives the events of a send. The last one is either `onEnd` or `onFailure`. */
export interface SendEvents {
  onHead(head: AnswerHead): void;
  /** @returns `false` to pause until {@linkcode ActiveSend.resume}. */
  onData(chunk: Buffer): boolean;
  onEnd(trailers: RawHeaders): void;
  onFailure(failure: SendFailure): void;
}

/** A send in progress. */
export interface ActiveSend {
  /** Continues reading the answer after a pause. */
  resume(): void;
  /** Closes the connection, so that the server stops working on the call. No event follows. */
  abort(): void;
  /**
   * Reads the rest of an answer that is not used, so that other calls can use the connection,
   * and closes it if the rest is long or slow. Default: the answer is read to its end.
   */
  drain?(): void;
  /**
   * Has later sends of the call use other connections: a late copy of an answer to this send could
   * not be told from the answer to a later one, since all bear the id of the call. Default: each
   * send has a connection of its own.
   */
  excludeCall?(): void;
}

/** Sends calls to backend servers and to other instances over persistent connections. */
export interface ServerClient {
  /** Starts to send a call, and reports what follows to `events`. */
  send(request: SendRequest, events: SendEvents): ActiveSend;
}
