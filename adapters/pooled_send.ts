import type { Socket } from "node:net";
import type { Client, Dispatcher } from "undici";
import { Cancellation, scheduleAfterReading } from "../clock/mod.ts";
import {
  type ActiveSend,
  type AnswerFraming,
  type RawHeaders,
  readAnswerFraming,
  readHeader,
  type SendEvents,
  type SendFailure,
  type SendRequest,
} from "../forwarding/mod.ts";
import {
  findResetError,
  isConnectionClosedError,
} from "./connection_errors.ts";
import type { FramingLimit } from "./framing_limit.ts";
import { systemClock } from "./system_clock.ts";

/** Time for which an idle connection is kept if the server advertises none, in milliseconds. */
export const IDLE_TIMEOUT_MS = 4_000;
/**
 * Time subtracted from the idle timeout that a server advertises, in milliseconds. It
 * allows for the network latency to the server and for late timers.
 */
export const IDLE_MARGIN_MS = 600;
/** Maximum size of the rest of an unused answer that is read to keep its connection, in bytes. */
const MAX_DRAINED_BYTES = 65_536;
/** Maximum time to read that rest, in milliseconds: several round trips between regions. */
const MAX_DRAIN_MS = 500;
/** Characters that HTTP does not allow in a status text. */
const UNWRITABLE_PATTERN = /[^\t\x20-\x7e\x80-\xff]/;

/** A connection of a pool, with one call at a time. */
export interface Connection {
  readonly client: Client;
  socket: Socket | undefined;
  framingLimit: FramingLimit | undefined;
  /**
   * Time of the last byte of an answer, in milliseconds on this instance's clock;
   * `undefined` before the first one.
   */
  answeredMs: number | undefined;
  /**
   * Earliest time at which its last answer can have arrived, in milliseconds on this
   * instance's clock; `undefined` before the first one.
   */
  idleSinceMs: number | undefined;
  /** Time for which it may be idle after its last answer, in milliseconds. */
  idleTimeoutMs: number;
  /** Ids of the calls that may not use it again. */
  readonly excludedCalls: Set<string>;
}

/** Functions of the pool that a send needs. */
export interface PooledSendParts {
  readonly connection: Connection;
  readonly events: SendEvents;
  /** Called once when the send has ended, with whether its connection can be used again. */
  readonly release: (isReusable: boolean) => void;
  /** Logs why a connection was closed. */
  readonly logClosed: (reason: string) => void;
}

/** One send of a call over a connection. */
export class PooledSend implements ActiveSend, Dispatcher.DispatchHandler {
  readonly #connection: Connection;
  readonly #events: SendEvents;
  readonly #release: (isReusable: boolean) => void;
  readonly #logClosed: (reason: string) => void;
  /** Ends the reading of an answer that is not used; `undefined` while it is used. */
  #drainEnded: Cancellation | undefined;
  #drainedBytes = 0;
  #abort: (() => void) | undefined;
  #resume = () => {};
  #isDone = false;
  #isSent = false;
  #method = "";
  #callId = "";
  #framing: AnswerFraming = "length";

  /** @param parts Connection, receiver of the answer, and functions of the pool. */
  constructor({ connection, events, logClosed, release }: PooledSendParts) {
    this.#connection = connection;
    this.#events = events;
    this.#release = (isReusable) => {
      this.#drainEnded?.cancel();
      release(isReusable);
    };
    this.#logClosed = logClosed;
  }

  /** Writes the request, once the connection is open. */
  start(request: SendRequest): void {
    const { body, callId, headers, method, target } = request;
    this.#method = method;
    this.#callId = callId;
    try {
      this.#connection.client.dispatch({
        method: method as Dispatcher.HttpMethod,
        path: target,
        headers,
        body: body.length > 0 ? body : null,
        // A request pipelined behind an unanswered one could receive the wrong answer.
        blocking: true,
        idempotent: false,
      }, this);
    } catch (error) {
      this.#fail(error as Error);
    }
  }

  resume(): void {
    this.#resume();
  }

  abort(): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#abort?.();
    this.#release(false);
  }

  drain(): void {
    if (this.#isDone || this.#drainEnded !== undefined) return;
    this.#drainEnded = new Cancellation();
    scheduleAfterReading(
      systemClock,
      MAX_DRAIN_MS,
      () => this.#endDrain(`An unused answer took over ${MAX_DRAIN_MS} ms`),
      this.#drainEnded,
    );
  }

  excludeCall(): void {
    this.#connection.excludedCalls.add(this.#callId);
  }

  #endDrain(reason: string): void {
    this.#logClosed(reason);
    this.abort();
  }

  onConnect(abort: (error?: Error) => void): void {
    this.#abort = () => abort();
    if (this.#isDone) {
      abort();
      return;
    }
    if (this.#isSent) {
      const reason = "A request was about to be written twice";
      this.#logClosed(reason);
      abort(new Error(reason));
      return;
    }
    this.#isSent = true;
  }

  onHeaders(
    status: number,
    rawHeaders: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean {
    this.#connection.answeredMs = systemClock.nowMs();
    // Interim answers (1xx) are ignored: they concern only the connection, and the
    // body has been sent already.
    if (status < 200 || this.#isDone) return true;
    this.#resume = resume;
    const headers = rawHeaders.map((text) => text.toString("latin1"));
    this.#connection.idleTimeoutMs = readIdleTimeoutMs(headers);
    this.#framing = readAnswerFraming(this.#method, { status, headers });
    this.#events.onHead({
      status,
      statusText: toWritableText(statusText),
      headers,
      framing: this.#framing,
    });
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#connection.framingLimit?.recordBody(chunk.length);
    if (this.#isDone) return true;
    this.#connection.answeredMs = systemClock.nowMs();
    if (this.#drainEnded === undefined) return this.#events.onData(chunk);
    this.#drainedBytes += chunk.length;
    if (this.#drainedBytes > MAX_DRAINED_BYTES) {
      this.#endDrain(`An unused answer is over ${MAX_DRAINED_BYTES} bytes`);
    }
    return true;
  }

  onComplete(trailers: string[] | null): void {
    if (this.#isDone) return;
    const { framingLimit, socket } = this.#connection;
    framingLimit?.reset();
    const reset = findResetError(this.#framing, socket);
    if (reset !== undefined) {
      this.#fail(reset);
      return;
    }
    this.#isDone = true;
    const texts = (trailers ?? []).map((text) =>
      typeof text === "string" ? text : (text as Buffer).toString("latin1")
    );
    this.#release(socket !== undefined && !socket.destroyed);
    try {
      this.#events.onEnd(texts);
    } catch (error) {
      // undici reports an error at the end of a request to nobody.
      const { message } = error as Error;
      this.#events.onFailure({ kind: "unknown", message });
    }
  }

  onError(error: Error): void {
    this.#fail(error);
  }

  #fail(error: Error): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#release(false);
    this.#events.onFailure({
      kind: this.#toFailureKind(error),
      message: error.message,
    });
  }

  #toFailureKind(error: Error): SendFailure["kind"] {
    if (!this.#isSent) return "not-sent";
    return isConnectionClosedError(error) ? "closed" : "unknown";
  }
}

/** Returns for how long a connection may be idle after an answer, in milliseconds. */
function readIdleTimeoutMs(headers: RawHeaders): number {
  const told = readHeader(headers, "keep-alive");
  const timeoutS = /timeout=(\d+)/i.exec(told ?? "")?.[1];
  if (timeoutS === undefined) return IDLE_TIMEOUT_MS;
  return 1_000 * Number(timeoutS) - IDLE_MARGIN_MS;
}

/**
 * Returns a status text, or an empty one if Node does not write its characters. A status
 * text has no meaning, while an answer that cannot be written is lost.
 */
function toWritableText(statusText: string): string {
  return UNWRITABLE_PATTERN.test(statusText) ? "" : statusText;
}
