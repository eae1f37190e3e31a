import type { RawHeaders } from "./call_grammar.ts";

/** One send of a call over a connection. */
export interface SendRequest {
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  /** Connections that may be open to the address. */
  readonly maxConnections: number;
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly statusText: string;
  readonly headers: RawHeaders;
}

/** Why a send gave no whole answer. */
export interface SendFailure {
  /**
   * `not-sent`: no byte of the call has left; otherwise it may have run. `closed`: the
   * other side ended the connection within it, as a server does that ends itself.
   */
  readonly kind: "not-sent" | "closed" | "unknown";
  readonly message: string;
}

/** What becomes of a send; exactly one of `onEnd` and `onFailure` comes last. */
export interface SendEvents {
  onHead(head: AnswerHead): void;
  /** @returns `false` to pause until {@linkcode ActiveSend.resume}. */
  onData(chunk: Buffer): boolean;
  onEnd(trailers: RawHeaders): void;
  onFailure(failure: SendFailure): void;
}

/** A send that is under way. */
export interface ActiveSend {
  /** Goes on after a pause. */
  resume(): void;
  /** Closes the connection, so that the server stops work. No event follows. */
  abort(): void;
}

/** Sends calls to backend servers and to other instances over kept connections. */
export interface ServerClient {
  send(request: SendRequest, events: SendEvents): ActiveSend;
}
