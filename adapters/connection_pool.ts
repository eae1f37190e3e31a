import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
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
  type ServerClient,
} from "../forwarding/mod.ts";
import {
  findResetError,
  isConnectionClosedError,
} from "./connection_errors.ts";
import { FRAMING_EXCEEDED, FramingLimit } from "./framing_limit.ts";
import { LineRateLimiter, type Logger } from "../logs/mod.ts";
import { systemClock } from "./system_clock.ts";

/** Maximum time to open a connection, in milliseconds: several round trips between regions. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Time for which an idle connection is kept if the server advertises none, in milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;
/**
 * Time subtracted from the idle timeout that a server advertises, in milliseconds. It
 * allows for the network latency to the server and for late timers.
 */
const IDLE_MARGIN_MS = 600;
/** Idle time after which the operating system sends TCP keep-alive probes, in milliseconds. */
const PROBE_AFTER_MS = 1_000;

/**
 * Minimum silence of a reused connection, in milliseconds, after which an abandoned
 * send also closes the idle connections that may be silent too: connections can
 * go silent without a reset. The value is below half of a latency objective of one
 * second, which is when sends are first abandoned.
 */
const SILENCE_MS = 400;

/** Maximum size of the rest of an unused answer that is read to keep its connection, in bytes. */
const MAX_DRAINED_BYTES = 65_536;
/** Maximum time to read that rest, in milliseconds: several round trips between regions. */
const MAX_DRAIN_MS = 500;
/** Number of calls that may not use a connection again, from which on it is closed. */
const MAX_EXCLUDED_CALLS = 32;
/** Maximum number of log lines in one second, so that a faulty server does not hide other lines. */
const LINES_PER_SECOND = 5;

/** Characters that HTTP does not allow in a status text. */
const UNWRITABLE_PATTERN = /[^\t\x20-\x7e\x80-\xff]/;

interface Connection {
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

/** Options of a {@linkcode ConnectionPool}. */
export interface ConnectionPoolOptions {
  /**
   * Minimum silence after which an abandoned send closes silent idle connections, in
   * milliseconds. Default: 400.
   */
  readonly silenceMs?: number;
  /** Receives which connections were closed because their bytes did not end. Default: none. */
  readonly logger?: Logger;
  /**
   * Returns the maximum time for which bytes that are read now can have waited in the socket,
   * in milliseconds. Default: 0.
   */
  readonly readLoopDelayMs?: () => number;
}

/**
 * Pool of reusable connections, each with one call at a time. Each connection is an
 * undici client of its own, so that the socket of an answer is known: undici accepts
 * an answer without a length as complete when its connection is reset, and callers
 * must not.
 */
export class ConnectionPool implements ServerClient {
  readonly #hosts = new Map<string, HostConnections>();
  readonly #silenceMs: number;
  readonly #logger: Logger | undefined;
  readonly #readLoopDelayMs: () => number;
  readonly #lineLimiter = new LineRateLimiter(LINES_PER_SECOND);

  /** @param options Silence after which idle connections are closed, and the log. */
  constructor(options: ConnectionPoolOptions = {}) {
    this.#silenceMs = options.silenceMs ?? SILENCE_MS;
    this.#logger = options.logger;
    this.#readLoopDelayMs = options.readLoopDelayMs ?? (() => 0);
  }

  /**
   * Sends a call over a free connection, or over a new one if none is free.
   *
   * @param request Address and content of the call.
   * @param events Callbacks for the answer or the failure.
   */
  send(request: SendRequest, events: SendEvents): ActiveSend {
    const { address, maxConnections } = request;
    let host = this.#hosts.get(address);
    if (host === undefined) {
      host = new HostConnections(address, {
        silenceMs: this.#silenceMs,
        readLoopDelayMs: this.#readLoopDelayMs,
        logClosed: (reason) => this.#logClosed(address, reason),
      });
      this.#hosts.set(address, host);
    }
    return host.send(request, events, maxConnections);
  }

  /**
   * Closes the connections to addresses that are not needed any more. Those of an
   * address with an active call are kept.
   *
   * @param addresses Addresses whose connections are kept.
   */
  keepOnly(addresses: ReadonlySet<string>): void {
    this.#hosts.forEach((host, address) => {
      if (addresses.has(address) || host.busyCount > 0) return;
      host.destroy();
      this.#hosts.delete(address);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#hosts.forEach((host) => host.destroy());
    this.#hosts.clear();
  }

  #logClosed(address: string, reason: string): void {
    const suppressed = this.#lineLimiter.admitLine(systemClock.nowMs());
    if (suppressed === undefined) return;
    this.#logger?.warn("connection closed", { address, reason, suppressed });
  }
}

/** What the connections to a host need of their pool. */
interface HostParts {
  readonly silenceMs: number;
  readonly readLoopDelayMs: () => number;
  /** Logs why a connection was closed whose bytes did not end. */
  readonly logClosed: (reason: string) => void;
}

class HostConnections {
  busyCount = 0;
  readonly #address: string;
  readonly #parts: HostParts;
  /** Free connections; the last one was used last and is the least likely to be closed. */
  readonly #free: Connection[] = [];

  constructor(address: string, parts: HostParts) {
    this.#address = address;
    this.#parts = parts;
  }

  send(
    request: SendRequest,
    events: SendEvents,
    maxConnections: number,
  ): ActiveSend {
    if (this.busyCount >= maxConnections) {
      events.onFailure({
        kind: "not-sent",
        message: `All ${maxConnections} connections are in use`,
        isOwnLimit: true,
      });
      return { resume: () => {}, abort: () => {} };
    }
    const startMs = systemClock.nowMs();
    const connection = this.#takeFree(startMs, request.callId) ?? this.#open();
    this.busyCount++;
    const wasKept = connection.answeredMs !== undefined;
    const send = new Send(connection, events, (isReusable) => {
      this.busyCount--;
      if (isReusable && connection.excludedCalls.size < MAX_EXCLUDED_CALLS) {
        const arrivedMs = systemClock.nowMs() - this.#parts.readLoopDelayMs();
        connection.idleSinceMs = arrivedMs;
        this.#free.push(connection);
        return;
      }
      destroyQuietly(connection);
      const wasSilent = (connection.answeredMs ?? 0) < startMs &&
        systemClock.nowMs() - startMs >= this.#parts.silenceMs;
      if (wasKept && wasSilent) this.#closeSilent(startMs);
    }, this.#parts.logClosed);
    send.start(request);
    return send;
  }

  destroy(): void {
    this.#free.splice(0).forEach(destroyQuietly);
  }

  /**
   * Returns the free connection that was used last among those that the call may use.
   * Connections that their servers may close now are closed: the client's own timer of idle
   * connections runs late after a standstill of this process.
   */
  #takeFree(nowMs: number, callId: string): Connection | undefined {
    let connection = this.#takeLast(callId);
    while (connection !== undefined) {
      const idleMs = nowMs - (connection.idleSinceMs ?? nowMs);
      if (idleMs <= connection.idleTimeoutMs) return connection;
      destroyQuietly(connection);
      connection = this.#takeLast(callId);
    }
    return undefined;
  }

  #takeLast(callId: string): Connection | undefined {
    const at = this.#free.findLastIndex(({ excludedCalls }) =>
      !excludedCalls.has(callId)
    );
    return at < 0 ? undefined : this.#free.splice(at, 1)[0];
  }

  /** Closes the idle connections that received nothing since a time: they may be silent too. */
  #closeSilent(sinceMs: number): void {
    const isSilent = ({ answeredMs }: Connection) =>
      (answeredMs ?? 0) < sinceMs;
    const silent = this.#free.filter(isSilent);
    this.#free.splice(
      0,
      Infinity,
      ...this.#free.filter((each) => !isSilent(each)),
    );
    silent.forEach(destroyQuietly);
  }

  #open(): Connection {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const connection: Connection = {
      socket: undefined,
      framingLimit: undefined,
      answeredMs: undefined,
      idleSinceMs: undefined,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      excludedCalls: new Set(),
      client: new Client(`http://${this.#address}`, {
        pipelining: 1,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        // The forwarder limits the time of calls; silence of a server isn't a failure.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: (options, callback) => {
          connect(options, (...result) => {
            // On failure, the types declare null; at run time the argument is missing.
            const socket: Socket | null | undefined = result[1];
            if (socket) {
              connection.socket = socket;
              connection.framingLimit = new FramingLimit(socket);
              socket.setNoDelay(true);
              socket.setKeepAlive(true, PROBE_AFTER_MS);
            }
            callback(...result);
          });
        },
      }),
    };
    // A closed idle connection is removed: its client would open another one.
    connection.client.on("disconnect", () => {
      if (connection.framingLimit?.isExceeded) {
        this.#parts.logClosed(FRAMING_EXCEEDED);
      }
      const at = this.#free.indexOf(connection);
      if (at < 0) return;
      this.#free.splice(at, 1);
      destroyQuietly(connection);
    });
    return connection;
  }
}

function destroyQuietly({ client }: Connection): void {
  client.destroy().catch(() => {/* the connection is closed either way */});
}

class Send implements ActiveSend, Dispatcher.DispatchHandler {
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

  constructor(
    connection: Connection,
    events: SendEvents,
    release: (isReusable: boolean) => void,
    logClosed: (reason: string) => void,
  ) {
    this.#connection = connection;
    this.#events = events;
    this.#release = (isReusable) => {
      this.#drainEnded?.cancel();
      release(isReusable);
    };
    this.#logClosed = logClosed;
  }

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
