import {
  createServer as createPlainServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type ServerResponse,
} from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import type { Server } from "node:http";
import { setMaxListeners } from "node:events";
import type { Duplex } from "node:stream";
import { err, ok, type Result } from "neverthrow";
import { scheduleAfterReading, scheduleEvery } from "../clock/mod.ts";
import { ByteCollector } from "../bytes/mod.ts";
import { CarriedCall, CarriedWork } from "../capacity/mod.ts";
import { ATTEMPT_ID_HEADER, MAY_BE_CUT_HEADER } from "../engine/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { AnswerWriter } from "./answer_writer.ts";
import { ConnectionTimeouts } from "./connection_timeouts.ts";
import { OpenRequests } from "./open_requests.ts";
import type { OpenResponses } from "./open_responses.ts";
import { startListening } from "./start_listening.ts";
import { ACCEPT_BACKLOG, DisconnectDetector } from "./disconnect_detector.ts";
import { systemClock } from "./system_clock.ts";
import { type GatewayRequest, type Reply, toRefusal } from "../filters/mod.ts";
import {
  createFailure,
  type Failure,
  RESULT_CODES,
  toErrorBody,
} from "../results/mod.ts";

/** Limits of a {@linkcode Listener}. */
export interface ListenerLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Maximum time for the headers to arrive, and for the body to arrive once it is read. */
  readonly bodyTimeoutMs: number;
  /** Maximum time for which an idle connection is kept open. */
  readonly idleTimeoutMs: number;
}

/** Certificate, private key and certificate authorities of a listener, as PEM texts. */
export interface TlsCertificates {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** Address, limits and handler of a {@linkcode Listener}. */
export interface ListenerParts {
  /** IP address and port; port 0 selects a free one. */
  readonly address: string;
  readonly limits: ListenerLimits;
  /** Receives the errors of the server and of handlers. */
  readonly logger: Logger;
  /** Serves one request. */
  readonly handle: (request: GatewayRequest) => Promise<Reply>;
  /** Certificates for HTTPS. Default: the listener serves plain HTTP. */
  readonly tls?: TlsCertificates | undefined;
  /** Memory for heads and bodies of all listeners of the instance. Default: unbounded. */
  readonly work?: CarriedWork;
}

/** HTTP or HTTPS listener that accepts requests. */
export interface Listener {
  readonly port: number;
  /** Sets the certificates for new connections; open connections are not affected. */
  setTls(files: TlsCertificates): void;
  /**
   * Accepts no more connections, and resolves when all are closed. Connections that are
   * still active after 2 seconds are closed by force.
   */
  close(): Promise<void>;
  /** Closes all connections at once. */
  destroy(): Promise<void>;
}

/** Interval between attempts to close idle connections during a close, in milliseconds. */
const CLOSE_CHECK_INTERVAL_MS = 20;
/** Time after which a close ends the connections that are still active, in milliseconds. */
const CLOSE_TIMEOUT_MS = 2_000;

/** Time after which a caller may retry a request for which there was no memory, in milliseconds. */
const NO_MEMORY_RETRY_MS = 1_000;

/** Default limits of a {@linkcode Listener}. */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = {
  maxBodyBytes: 1_048_576,
  maxHeaderBytes: 16_384,
  bodyTimeoutMs: 10_000,
  idleTimeoutMs: 75_000,
};

/**
 * Starts an HTTP or HTTPS listener.
 *
 * @param parts Address, limits and handler.
 */
export async function startListener(parts: ListenerParts): Promise<Listener> {
  const disconnectDetector = new DisconnectDetector();
  const requests = new OpenRequests(refuseInvalidRequest);
  const onRequest = async (
    message: IncomingMessage,
    response: ServerResponse,
  ) => {
    if (!requests.begin(message, response)) return;
    try {
      if (await disconnectDetector.isConnected(message.socket)) {
        await serveMessage(parts, message, response, requests.responses);
      }
    } catch (error) {
      endFailed(parts, { message, response }, error as Error);
    }
  };
  const options = {
    maxHeaderSize: parts.limits.maxHeaderBytes,
    requestTimeout: 0,
    headersTimeout: parts.limits.bodyTimeoutMs,
    keepAliveTimeout: parts.limits.idleTimeoutMs,
  };
  const server: Server | TlsServer = parts.tls === undefined
    ? createPlainServer(options, onRequest)
    : createTlsServer({ ...options, ...parts.tls }, onRequest);
  // By default, Node drops the lines beyond the first thousand.
  server.maxHeadersCount = 0;
  new ConnectionTimeouts(server, {
    refuse: (error, socket) => requests.refuse(error, socket),
  });
  const at = parts.address.lastIndexOf(":");
  const host = parts.address.slice(0, at).replace(/^\[|\]$/g, "");
  const port = await startListening(server, {
    host,
    port: Number(parts.address.slice(at + 1)),
    backlog: ACCEPT_BACKLOG,
  }, parts.logger);
  return {
    port,
    setTls: (files) => {
      if ("setSecureContext" in server) server.setSecureContext(files);
    },
    close: async () => {
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      // Connections that are still open have an answer in progress: they get a bounded
      // time to complete it.
      const closing = new AbortController();
      scheduleEvery(
        systemClock,
        CLOSE_CHECK_INTERVAL_MS,
        () => server.closeIdleConnections(),
        closing.signal,
      );
      systemClock.schedule(
        CLOSE_TIMEOUT_MS,
        () => {
          server.getConnections((_, connections) =>
            parts.logger.warn("connections cut", { port, connections })
          );
          server.closeAllConnections();
        },
        closing.signal,
      );
      await closed;
      closing.abort("closed");
    },
    destroy: async () => {
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      server.closeAllConnections();
      await closed;
    },
  };
}

async function serveMessage(
  parts: ListenerParts,
  message: IncomingMessage,
  response: ServerResponse,
  responses: OpenResponses,
): Promise<void> {
  const disconnect = new AbortController();
  setMaxListeners(0, disconnect.signal);
  const carried = new CarriedCall(parts.work ?? new CarriedWork({}));
  responses.onceClosed(response, () => {
    if (!response.writableFinished) disconnect.abort();
    carried.end();
  });
  if (carried.begin(message.rawHeaders) !== undefined) {
    writeWhole(message, response, toRefusal(createNoMemory()));
    return;
  }
  const reply = await parts.handle(
    toRequest(parts, message, { signal: disconnect.signal, carried }),
  );
  if (response.destroyed) {
    if (reply.kind === "events") await closeUnreadStream(reply.events);
    return;
  }
  if (reply.kind === "whole") {
    writeWhole(message, response, reply);
    return;
  }
  await writeEvents(response, reply);
}

/** Ends a request whose handler failed; an answer that has begun is broken off. */
function endFailed(
  { logger }: ListenerParts,
  { message, response }: {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
  },
  error: Error,
): void {
  logger.error("request failed", {
    method: message.method,
    path: message.url?.split("?")[0],
    reason: error.message,
    stack: error.stack,
  });
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const failure = createFailure("INTERNAL", "An internal error occurred");
  writeWhole(message, response, toRefusal(failure));
}

function writeWhole(
  message: IncomingMessage,
  response: ServerResponse,
  reply: Extract<Reply, { kind: "whole" }>,
): void {
  const body = typeof reply.body === "string"
    ? Buffer.from(reply.body)
    : reply.body;
  // After an unread body, the start of the next request on the connection is unknown.
  const isUnread = !message.complete;
  response.writeHead(reply.status, {
    ...reply.headers,
    ...toAttemptHeader(message),
    ...(reply.mayBeCut === true ? { [MAY_BE_CUT_HEADER]: "true" } : {}),
    // Also where the server told no end: the loss of this instance must not look like one.
    "content-length": String(body.length),
    ...(isUnread ? { connection: "close" } : {}),
  });
  response.write(body);
  endOnceSent(response);
}

/** Returns the header that ties an answer to one try of a request. */
function toAttemptHeader({ headers }: IncomingMessage): OutgoingHttpHeaders {
  const attempt = headers[ATTEMPT_ID_HEADER];
  return attempt === undefined ? {} : { [ATTEMPT_ID_HEADER]: attempt };
}

/**
 * Ends an answer once the connection has taken all of it: with a response that has ended, Node
 * takes the connection for idle, and a close of the listener would cut the rest.
 */
function endOnceSent(response: ServerResponse): void {
  response.write("", () => response.end());
}

/**
 * Closes a stream whose caller disconnected before the first event. The stream is
 * started first: a generator that never started would not run its `finally` blocks.
 */
async function closeUnreadStream(
  events: AsyncIterable<unknown>,
): Promise<void> {
  for await (const _ of events) break;
}

async function writeEvents(
  response: ServerResponse,
  reply: Extract<Reply, { kind: "events" }>,
): Promise<void> {
  response.writeHead(200, {
    ...reply.headers,
    ...toAttemptHeader(response.req),
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  response.flushHeaders();
  const writer = new AnswerWriter(response);
  for await (const event of reply.events) {
    if (response.destroyed) break;
    const id = event.id === undefined ? "" : `id: ${event.id}\n`;
    const bytes = Buffer.from(`${id}data: ${event.data}\n\n`);
    if (!writer.write(bytes)) await waitForDrain(response, writer);
  }
  writer.flush();
  endOnceSent(response);
}

/** Waits until the caller has read more, so that a slow reader uses bounded memory. */
async function waitForDrain(
  response: ServerResponse,
  writer: AnswerWriter,
): Promise<void> {
  if (response.destroyed) return;
  await new Promise<void>((resolve) => {
    const finish = () => {
      response.off("close", finish);
      resolve();
    };
    writer.onDrain(finish);
    response.on("close", finish);
  });
}

function toRequest(
  parts: ListenerParts,
  message: IncomingMessage,
  { carried, signal }: {
    readonly carried: CarriedCall;
    readonly signal: AbortSignal;
  },
): GatewayRequest {
  const url = message.url ?? "/";
  const at = url.indexOf("?");
  const headers = Object.fromEntries(
    Object.entries(message.headers).flatMap(([name, value]) =>
      value === undefined
        ? []
        : [[name, Array.isArray(value) ? value.join(", ") : value]]
    ),
  );
  return {
    method: message.method ?? "GET",
    path: at < 0 ? url : url.slice(0, at),
    query: at < 0 ? "" : url.slice(at),
    headers,
    readBody: () => readBody(parts.limits, message, carried),
    signal,
  };
}

async function readBody(
  limits: ListenerLimits,
  message: IncomingMessage,
  carried: CarriedCall,
): Promise<Result<Buffer, Failure>> {
  const declaredBytes = Number(message.headers["content-length"] ?? "0");
  if (declaredBytes > limits.maxBodyBytes) return err(createTooLarge(limits));
  const body = new ByteCollector();
  let isLate = false;
  const read = new AbortController();
  const refuseLate = () => {
    isLate = true;
    message.emit("late");
  };
  const { bodyTimeoutMs } = limits;
  scheduleAfterReading(systemClock, bodyTimeoutMs, refuseLate, read.signal);
  try {
    return await new Promise((resolve) => {
      const refuse = (failure: Failure) => {
        message.pause();
        body.clear();
        resolve(err(failure));
      };
      message.on("data", (chunk: Buffer) => {
        if (body.size + chunk.length > limits.maxBodyBytes) {
          refuse(createTooLarge(limits));
        } else if (!carried.reserve(chunk.length)) refuse(createNoMemory());
        else body.append(chunk);
      });
      message.on("end", () => {
        const bytes = body.take();
        if (carried.reserveParsed(bytes)) resolve(ok(bytes));
        else resolve(err(createNoMemory()));
      });
      message.on("late", () => {
        message.pause();
        resolve(
          err(createFailure("BODY_TIMEOUT", "The body did not arrive in time")),
        );
      });
      message.on(
        "error",
        () => resolve(err(createFailure("BAD_REQUEST", "The body broke off"))),
      );
      message.on("close", () => {
        if (!isLate) {
          resolve(err(createFailure("BAD_REQUEST", "The body broke off")));
        }
      });
    });
  } finally {
    read.abort("read");
  }
}

function createTooLarge(limits: ListenerLimits): Failure {
  return createFailure(
    "BODY_TOO_LARGE",
    `The body is over ${limits.maxBodyBytes} bytes`,
  );
}

function createNoMemory(): Failure {
  return createFailure(
    "OVERLOADED",
    "This instance has too little memory for the request",
    { retryAfterMs: NO_MEMORY_RETRY_MS },
  );
}

function refuseInvalidRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  const isHeaderTooLarge = error.code === "HPE_HEADER_OVERFLOW";
  const message = isHeaderTooLarge
    ? "The headers are over the size limit"
    : "The request is malformed";
  const body = JSON.stringify(
    toErrorBody(createFailure("BAD_REQUEST", message)),
  );
  const status = isHeaderTooLarge
    ? "431 Request Header Fields Too Large"
    : "400 Bad Request";
  const lines = [
    `HTTP/1.1 ${status}`,
    "content-type: application/json",
    `x-result-code: ${RESULT_CODES.BAD_REQUEST.code}`,
    "x-ran: not-run",
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
  ];
  socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
}
