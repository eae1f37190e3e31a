import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { ByteCollector } from "../bytes/mod.ts";
import {
  CarriedCall,
  CarriedWork,
  type ScarceResource,
} from "../capacity/mod.ts";
import {
  type CallHead,
  type CallOrigin,
  type CallSink,
  measureHeaders,
  NO_CAPACITY_RETRY_MS,
  NO_CONFIGURATION_RETRY_MS,
  type OpaqueCall,
  type RawHeaders,
  type Refusal,
  toRefusalAnswer,
} from "../forwarding/mod.ts";
import { type CallerLimits, INITIAL_LIMITS } from "../http_routes/mod.ts";
import { LineRateLimiter, type Logger } from "../logs/mod.ts";
import { ConnectionTimeouts } from "./connection_timeouts.ts";
import { OpenResponses } from "./open_responses.ts";
import { ResponseSink } from "./response_sink.ts";
import { startListening } from "./start_listening.ts";
import { systemClock } from "./system_clock.ts";
import { ACCEPT_BACKLOG, DisconnectDetector } from "./disconnect_detector.ts";

/**
 * Maximum size of a header block that the parser accepts, in bytes. The configured
 * bound is checked after parsing, because it can change while the listener runs.
 */
const PARSER_HEADER_BYTES = 65_536;
/** Interval between checks for slow headers and idle connections, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** Maximum size of a body that is read even if its call is refused, in bytes. */
const SHORT_BODY_BYTES = 16_384;
/** Bounds on the sizes of calls that another instance forwards. */
const UNBOUNDED_SIZES = { maxBodyBytes: Infinity, maxHeaderBytes: Infinity };
/** Maximum number of log lines in one second about calls that no handler gets. */
const LINES_PER_SECOND = 10;
/** Why a call is not handled that has arrived in part. */
const BROKEN_OFF = "the connection ends within the call";
/** Refusal of calls over the initial bounds before the first configuration. */
const NO_LIMITS: Refusal = {
  reason: "no-configuration",
  message: "This instance does not know yet how large calls may be",
  retryAfterMs: NO_CONFIGURATION_RETRY_MS,
};
/** Body of calls that were sent without one. */
const NO_BODY = Buffer.alloc(0);

/** Address, time source and handlers of a {@linkcode CallListener}. */
export interface CallListenerParts {
  readonly host: string;
  readonly port: number;
  /** Receives the errors of the server and of handlers. */
  readonly logger: Logger;
  /** Returns the current time in milliseconds, for {@linkcode OpaqueCall.receivedMs}. */
  readonly nowMs: () => number;
  /**
   * Returns the maximum time for which bytes that are read now can have waited
   * in the socket, in milliseconds.
   */
  readonly readLoopDelayMs: () => number;
  /** Returns who sent a call, or `undefined` to refuse it as malformed. */
  readonly readOrigin: (headers: RawHeaders) => CallOrigin | undefined;
  /**
   * Returns why a call is refused regardless of its body, or `undefined` if the body
   * must be read first. Default: every body is read.
   */
  readonly findHeadRefusal?: (head: CallHead) => Refusal | undefined;
  /** Connections, calls and bodies of all listeners of the instance. Default: unbounded. */
  readonly work?: CarriedWork;
  /** Refuses a call, given without its body, that the instance cannot carry. */
  readonly refuseUncarried?: (
    call: OpaqueCall,
    sink: CallSink,
    scarce: ScarceResource,
  ) => void;
  /** Serves one call and writes its answer to the sink. */
  readonly handle: (call: OpaqueCall, sink: CallSink) => Promise<void>;
}

/** Accepts calls over HTTP/1.1 and writes their answers unchanged. */
export class CallListener {
  readonly #parts: CallListenerParts;
  readonly #server: Server;
  readonly #timeouts: ConnectionTimeouts;
  readonly #work: CarriedWork;
  /**
   * Open connections, with the maximum time for which each can have waited to be
   * accepted, in milliseconds; 0 from its first call on.
   */
  readonly #sockets = new Map<Socket, number>();
  readonly #disconnectDetector = new DisconnectDetector();
  /** Number of calls of each connection whose answers are not fully sent yet. */
  readonly #openCalls = new Map<Duplex, number>();
  readonly #responses = new OpenResponses();
  /** The last call of each connection, until its body has been read. */
  readonly #readingMessages = new Map<Duplex, IncomingMessage>();
  /** Connections that are closed once their open calls are answered. */
  readonly #closingSockets = new Set<Duplex>();
  /** Connections that failed or were reset from outside. */
  readonly #failedSockets = new WeakSet<Duplex>();
  /** Response to the last call of each connection with open calls. */
  readonly #lastResponses = new WeakMap<Duplex, ServerResponse>();
  /** Connections that end with an answer or a refusal: no call behind it can be answered. */
  readonly #lastAnswerSockets = new WeakSet<Duplex>();
  /** Number of the call whose refusal ends its connection; calls before it are served. */
  readonly #lastCallNumbers = new WeakMap<Duplex, number>();
  /** Number of the last call that was read. */
  #callNumber = 0;
  /** Answers that are not fully sent yet. */
  readonly #openSinks = new Set<ResponseSink>();
  readonly #lineLimiter = new LineRateLimiter(LINES_PER_SECOND);
  /** Bounds of the configuration in force; `undefined` before the first one. */
  #limits: CallerLimits | undefined;
  #isLeaving = false;
  /** Bytes that closed connections received and sent. */
  #closedBytes = 0;

  /** @param parts Address, time source and handlers. */
  constructor(parts: CallListenerParts) {
    this.#parts = parts;
    this.#work = parts.work ?? new CarriedWork({});
    this.#server = createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
      keepAlive: true,
      insecureHTTPParser: false,
    });
    // By default, Node drops the lines beyond the first thousand. Their bytes are bounded, and
    // their memory is counted.
    this.#server.maxHeadersCount = 0;
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.set(socket, parts.readLoopDelayMs());
      socket.on("close", () => {
        this.#sockets.delete(socket);
        this.#closedBytes += countBytes(socket);
        this.#work.closeConnection();
        this.#readingMessages.delete(socket);
      });
      // An instance without a free descriptor could accept, send and store nothing more.
      if (!this.#work.openConnection()) {
        this.#logUnhandled("this instance", "too many connections are open");
        socket.destroy();
      }
    });
    this.#server.on("request", (message, response) => {
      const sink = this.#createSink(response);
      this.#handleRequest(message, response, sink).catch((error: Error) =>
        this.#endFailed(message, sink, error)
      );
    });
    this.#timeouts = new ConnectionTimeouts(this.#server, {
      refuse: (error, socket) => this.#handleClientError(error, socket),
      findUnread: (socket) => this.#readingMessages.get(socket),
    });
    this.#setTimeouts(INITIAL_LIMITS);
  }

  /** Starts to listen, and returns the port number. */
  async open(): Promise<number> {
    const { host, logger, port } = this.#parts;
    const options = { host, port, backlog: ACCEPT_BACKLOG };
    return await startListening(this.#server, options, logger);
  }

  /** Sets the bounds on callers; they also apply to open connections. */
  setLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.#setTimeouts(limits);
  }

  /**
   * Bytes received from callers and sent to them since the start. What is received from
   * callers is sent on to servers, and the other way round, so that the instance's link
   * carries this sum in each direction.
   */
  get transferredBytes(): number {
    return [...this.#sockets.keys()].reduce(
      (sum, socket) => sum + countBytes(socket),
      this.#closedBytes,
    );
  }

  /** Number of calls whose answers are not fully sent yet. */
  get openCount(): number {
    return [...this.#openCalls.values()].reduce((sum, calls) => sum + calls, 0);
  }

  /**
   * Closes each connection after its next answer, so that callers open another one. Where
   * further calls of the connection are being served, it is closed after the last of them.
   */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /** Closes the connections without a call in flight, and accepts no new ones. */
  closeIdle(): void {
    this.#server.close();
  }

  /** Closes the port and all connections at once; open answers are broken off. */
  destroy(): void {
    this.#server.close();
    this.#openSinks.forEach((sink) => sink.destroy());
    this.#sockets.forEach((_, socket) => socket.destroy());
  }

  #setTimeouts({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs;
    this.#timeouts.setIdleTimeout(idleTimeoutMs, this.#sockets.keys());
    // A caller that stalls within a body is treated like one that is idle between calls.
    this.#server.requestTimeout = Math.max(idleTimeoutMs, headerTimeoutMs);
  }

  #createSink(response: ServerResponse): ResponseSink {
    const { socket } = response.req;
    const sink = new ResponseSink(response, {
      mustEndConnection: () =>
        this.#isLeaving && this.#lastResponses.get(socket) === response,
      onEndsConnection: () => this.#lastAnswerSockets.add(socket),
      wasClosedByCaller: () =>
        socket.readableEnded || this.#failedSockets.has(socket),
    });
    this.#openSinks.add(sink);
    this.#responses.onceClosed(response, () => {
      this.#openSinks.delete(sink);
      sink.handleClose();
    });
    return sink;
  }

  async #handleRequest(
    message: IncomingMessage,
    response: ServerResponse,
    sink: ResponseSink,
  ): Promise<void> {
    const unreadMs = this.#takeUnreadMs(message.socket);
    // The caller's deadline runs from when it sent the call. A delay of the event
    // loop before the call is read must not extend that deadline.
    const receivedMs = this.#parts.nowMs() - unreadMs;
    response.sendDate = false;
    const { socket } = message;
    if (this.#lastAnswerSockets.has(socket)) {
      this.#logUnhandled("this instance", "the connection ends before it");
      return;
    }
    const number = ++this.#callNumber;
    this.#lastResponses.set(socket, response);
    this.#openCalls.set(socket, this.#countOpenCalls(socket) + 1);
    this.#responses.onceClosed(response, () => this.#removeOpenCall(socket));
    const endConnection = () => {
      this.#lastCallNumbers.set(socket, number);
      this.#endConnectionWith(response);
    };
    const refuse = (refusal: Refusal) => {
      // The rest of an unread body can't be distinguished from the next call.
      if (!message.complete) endConnection();
      this.#logUnhandled("this instance", refusal.reason);
      writeRefusal(sink, refusal);
    };
    const origin = this.#parts.readOrigin(message.rawHeaders);
    // The instance that forwards a call has checked its size, and adds a header.
    const { maxBodyBytes, maxHeaderBytes } = origin?.kind === "instance"
      ? UNBOUNDED_SIZES
      : this.#limits ?? INITIAL_LIMITS;
    // The first configuration may allow more.
    const refuseSize = (refusal: Refusal) =>
      refuse(this.#limits === undefined ? NO_LIMITS : refusal);
    if (measureHeaders(message.rawHeaders) > maxHeaderBytes) {
      return refuseSize({
        reason: "header-too-large",
        message: `The headers are over ${maxHeaderBytes} bytes`,
      });
    }
    if (origin === undefined || !message.url?.startsWith("/")) {
      return refuse({ reason: "malformed", message: "The call is malformed" });
    }
    const call: OpaqueCall = {
      method: message.method ?? "GET",
      target: message.url,
      headers: message.rawHeaders,
      body: NO_BODY,
      receivedMs,
      unreadMs,
      origin,
    };
    const refuseUncarried = (scarce: ScarceResource) => {
      endConnection();
      this.#refuseUncarried(call, sink, scarce);
    };
    const carried = new CarriedCall(this.#work);
    const scarce = carried.begin(message.rawHeaders);
    if (scarce !== undefined) return refuseUncarried(scarce);
    this.#responses.onceClosed(response, () => carried.end());
    // A short body is read even if the call is refused: its end marks where the next
    // call begins, so that the connection can be reused.
    if (origin.kind === "caller" && mayHaveLongBody(message)) {
      const refusal = this.#parts.findHeadRefusal?.({
        target: message.url,
        headers: message.rawHeaders,
        origin,
      });
      if (refusal !== undefined) return refuse(refusal);
    }
    this.#readingMessages.set(socket, message);
    const body = await readBody(message, maxBodyBytes, carried);
    if (this.#readingMessages.get(socket) === message) {
      this.#readingMessages.delete(socket);
    }
    if (body === "too-large") {
      return refuseSize({
        reason: "too-large",
        message: `The body is over ${maxBodyBytes} bytes`,
      });
    }
    // A call that was refused while its body arrived must not run.
    if (this.#isCutOff(socket, number)) return;
    if (body === "broken") {
      this.#logUnhandled(sink.closedBy, BROKEN_OFF);
      return;
    }
    if (body === "no-memory") return refuseUncarried("memory");
    if (!await this.#disconnectDetector.isConnected(message.socket)) {
      this.#logUnhandled(sink.closedBy, "the connection ends before it is run");
      return;
    }
    await this.#parts.handle({ ...call, body }, sink);
  }

  /** Logs a call, or its beginning, that no handler gets, with who ended it. */
  #logUnhandled(by: string, reason: string): void {
    const suppressed = this.#lineLimiter.admitLine(systemClock.nowMs());
    if (suppressed === undefined) return;
    this.#parts.logger.info("call not handled", { by, reason, suppressed });
  }

  /** Closes a connection after an answer. Calls that arrive behind it are not served. */
  #endConnectionWith(response: ServerResponse): void {
    response.shouldKeepAlive = false;
    this.#lastAnswerSockets.add(response.req.socket);
  }

  /** Returns whether the connection of a call ends before the call could be answered. */
  #isCutOff(socket: Duplex, number: number): boolean {
    return this.#lastAnswerSockets.has(socket) &&
      number >= (this.#lastCallNumbers.get(socket) ?? 0);
  }

  #refuseUncarried(
    call: OpaqueCall,
    sink: CallSink,
    scarce: ScarceResource,
  ): void {
    const { refuseUncarried } = this.#parts;
    if (refuseUncarried !== undefined) refuseUncarried(call, sink, scarce);
    else {
      writeRefusal(sink, {
        reason: "overloaded",
        message: `This instance has too little for the call: ${scarce}`,
        retryAfterMs: NO_CAPACITY_RETRY_MS,
      });
    }
  }

  /** Ends a call whose handler failed; an answer that has begun is broken off. */
  #endFailed(
    { method, url }: IncomingMessage,
    sink: ResponseSink,
    { message, stack }: Error,
  ): void {
    this.#parts.logger.error("call failed", {
      method,
      path: url?.split("?")[0],
      reason: message,
      stack,
    });
    if (sink.hasBegun) sink.abort();
    else writeRefusal(sink, { reason: "failed", message: "The call failed" });
  }

  #countOpenCalls(socket: Duplex): number {
    return this.#openCalls.get(socket) ?? 0;
  }

  /** Returns the number of open calls that have arrived whole, and therefore may run. */
  #countServedCalls(socket: Duplex): number {
    const isReading = this.#readingMessages.get(socket)?.complete === false;
    return this.#countOpenCalls(socket) - (isReading ? 1 : 0);
  }

  #removeOpenCall(socket: Duplex): void {
    const remaining = this.#countOpenCalls(socket) - 1;
    if (remaining > 0) this.#openCalls.set(socket, remaining);
    else {
      this.#openCalls.delete(socket);
      this.#lastResponses.delete(socket);
    }
    if (this.#countServedCalls(socket) > 0) return;
    if (!this.#closingSockets.delete(socket)) return;
    this.#lastAnswerSockets.add(socket);
    socket.end();
  }

  /**
   * Refuses bytes that are not a valid call, or that arrive too late. While another
   * call of the connection is being served, nothing is written: the caller would take
   * the refusal for the answer of that call, and conclude that a call which ran had
   * not. The connection is closed after that answer instead.
   */
  #handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    const isClosed = !socket.writable || error.code === "ECONNRESET";
    if (isClosed) {
      this.#failedSockets.add(socket);
      socket.destroy();
    } else if (this.#countServedCalls(socket) > 0) {
      this.#closingSockets.add(socket);
    } else {
      // A caller that left within its body keeps neither its place nor its memory.
      this.#responses.endAll(socket);
      this.#lastAnswerSockets.add(socket);
      const isBrokenOff = error.code === "HPE_INVALID_EOF_STATE";
      if (isBrokenOff) this.#logUnhandled("the caller", BROKEN_OFF);
      else this.#logUnhandled("this instance", toParserRefusal(error).reason);
      refuseMalformed(error, socket);
    }
  }

  /**
   * Returns the maximum time for which a call can have waited to be read, in
   * milliseconds. The first call of a connection also includes the time for which the
   * connection waited to be accepted; that time is cleared.
   */
  #takeUnreadMs(socket: Socket): number {
    const acceptMs = this.#sockets.get(socket) ?? 0;
    if (acceptMs > 0) this.#sockets.set(socket, 0);
    return acceptMs + this.#parts.readLoopDelayMs();
  }
}

/** Returns how many bytes a connection received and sent; bytes that wait in memory are not sent. */
function countBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}

function writeRefusal(sink: CallSink, refusal: Refusal): void {
  const { head, body } = toRefusalAnswer(refusal);
  sink.begin(head);
  sink.write(body);
  sink.end([]);
}

/** Returns whether the body of a call may exceed {@linkcode SHORT_BODY_BYTES}. */
function mayHaveLongBody({ headers }: IncomingMessage): boolean {
  const length = headers["content-length"];
  if (length !== undefined) return Number(length) > SHORT_BODY_BYTES;
  return headers["transfer-encoding"] !== undefined;
}

/**
 * Reads the body of a call.
 *
 * @param message The call.
 * @param maxBytes Maximum size.
 * @param carried The call's part of the instance's work, in which memory is reserved.
 */
function readBody(
  message: IncomingMessage,
  maxBytes: number,
  carried: CarriedCall,
): Promise<Buffer | "too-large" | "no-memory" | "broken"> {
  const announcedBytes = Number(message.headers["content-length"] ?? 0);
  if (announcedBytes > maxBytes) return Promise.resolve("too-large");
  if (announcedBytes > 0 && !carried.reserve(announcedBytes)) {
    return Promise.resolve("no-memory");
  }
  return new Promise((resolve) => {
    const body = new ByteCollector();
    let size = 0;
    let isRefused = false;
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve("too-large");
      else if (
        announcedBytes === 0 && !isRefused && !carried.reserve(chunk.length)
      ) {
        isRefused = true;
        body.clear();
        resolve("no-memory");
      } else if (!isRefused) body.append(chunk);
    });
    message.on("end", () => resolve(body.take()));
    message.on("close", () => resolve("broken"));
  });
}

/** Answers bytes that are not a valid request; none of them were forwarded. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
  const { head, body } = toRefusalAnswer(toParserRefusal(error));
  const lines = head.headers.flatMap((name, at) =>
    at % 2 === 0 ? [`${name}: ${head.headers[at + 1]}`] : []
  );
  const block = [
    `HTTP/1.1 ${head.status} ${head.statusText}`,
    ...lines,
    "Connection: close",
  ].join("\r\n");
  socket.end(`${block}\r\n\r\n${body.toString("utf8")}`);
}

function toParserRefusal(error: NodeJS.ErrnoException): Refusal {
  switch (error.code) {
    case "HPE_HEADER_OVERFLOW":
      return {
        reason: "header-too-large",
        message: "The headers are too large",
      };
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return { reason: "too-slow", message: "The call did not arrive in time" };
    default:
      return { reason: "malformed", message: "The call is malformed" };
  }
}
