import type { ServerResponse } from "node:http";
import {
  type AnswerHead,
  type CallSink,
  type RawHeaders,
  readHeader,
} from "../forwarding/mod.ts";
import { AnswerWriter } from "./answer_writer.ts";
import { resetConnection } from "./reset_connection.ts";
import { systemClock } from "./system_clock.ts";

/**
 * Time between the last bytes of an answer and the reset that breaks it off, in milliseconds.
 * Callers on Node take a reset that arrives together with bytes for a normal end.
 */
const RESET_DELAY_MS = 50;

/** What a {@linkcode ResponseSink} needs to know of its connection. */
export interface SinkConnection {
  /** Returns whether the connection ends with this answer. */
  readonly mustEndConnection: () => boolean;
  /** Called when an answer begins that ends with its connection. */
  readonly onEndsConnection: () => void;
  /** Returns whether a connection that is closed was ended or reset from outside. */
  readonly wasClosedByCaller: () => boolean;
}

/** Writes the answer to a call of an HTTP listener. */
export class ResponseSink implements CallSink {
  readonly signal: AbortSignal;
  readonly #response: ServerResponse;
  readonly #connection: SinkConnection;
  readonly #writer: AnswerWriter;
  readonly #disconnect = new AbortController();
  /**
   * Whether the normal end of the connection is the end of the answer: for a caller that reads
   * no chunks (HTTP/1.0).
   */
  #endsWithConnection = false;

  /**
   * @param response Response that the answer is written to.
   * @param connection What is known of its connection.
   */
  constructor(response: ServerResponse, connection: SinkConnection) {
    this.#response = response;
    this.#connection = connection;
    this.#writer = new AnswerWriter(response);
    this.signal = this.#disconnect.signal;
  }

  /** Aborts the signal if the connection was closed before the whole answer was sent. */
  handleClose(): void {
    if (this.#response.writableFinished) return;
    this.#disconnect.abort(`${this.closedBy} closed the connection`);
  }

  /** Which side closed the connection, where it is closed. */
  get closedBy(): "the caller" | "this instance" {
    return this.#connection.wasClosedByCaller()
      ? "the caller"
      : "this instance";
  }

  /** Whether the head of the answer has been written. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  begin(head: AnswerHead): void {
    const { headers, status, statusText } = head;
    const response = this.#response;
    if (this.#connection.mustEndConnection()) {
      response.shouldKeepAlive = false;
      this.#connection.onEndsConnection();
    }
    // A flat list preserves the order, the case and the repetition of header names.
    response.writeHead(status, statusText, headers as string[]);
    this.#endsWithConnection = !response.chunkedEncoding &&
      readHeader(headers, "content-length") === undefined;
  }

  write(chunk: Buffer): boolean {
    return this.#writer.write(chunk);
  }

  onDrain(callback: () => void): void {
    this.#writer.onDrain(callback);
  }

  end(trailers: RawHeaders): void {
    const pairs = trailers.flatMap((name, at) =>
      at % 2 === 0 ? [[name, trailers[at + 1]!] as [string, string]] : []
    );
    if (pairs.length > 0) this.#response.addTrailers(pairs);
    this.#writer.flush();
    this.#response.end();
  }

  abort(): void {
    this.#writer.flush();
    if (!this.#endsWithConnection) {
      this.#response.destroy();
      return;
    }
    const reset = new AbortController();
    this.#response.once("close", () => reset.abort("closed"));
    systemClock.schedule(RESET_DELAY_MS, () => this.destroy(), reset.signal);
  }

  /** Closes the connection at once, so that no open answer looks complete. */
  destroy(): void {
    const { socket } = this.#response;
    if (this.#endsWithConnection && socket !== null) resetConnection(socket);
    else this.#response.destroy();
  }
}
