import {
  createServer as createPlainServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import {
  createServer as createTlsServer,
  type Server as TlsServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { Server } from "node:http";
import { once, setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import { scheduleEvery } from "../clock/mod.ts";
import { ACCEPT_BACKLOG, NewConnections } from "./new_connections.ts";
import { systemClock } from "./system_clock.ts";
import type { GatewayRequest, Reply } from "../filters/mod.ts";
import {
  createFailure,
  type Failure,
  RESULT_CODES,
  toErrorBody,
} from "../results/mod.ts";

/** Bounds of a listener. */
export interface ListenerLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly bodyTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Certificates of a listener, in PEM. */
export interface TlsFiles {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** What a listener is created from. */
export interface ListenerParts {
  /** IP address and port; port 0 picks a free one. */
  readonly address: string;
  readonly limits: ListenerLimits;
  /** Serves one request. */
  readonly handle: (request: GatewayRequest) => Promise<Reply>;
  /** Without it the listener speaks plain HTTP. */
  readonly tls?: TlsFiles | undefined;
}

/** A listener that accepts requests. */
export interface Listener {
  readonly port: number;
  /** Puts new certificates in force for new connections; open ones go on. */
  setTls(files: TlsFiles): void;
  /** Accepts no more, and resolves when all connections are closed. */
  close(): Promise<void>;
  /** Closes all connections at once. */
  destroy(): Promise<void>;
}

const CLOSE_CHECK_MS = 20;
const CLOSE_PATIENCE_MS = 2_000;

/** Default bounds. */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = {
  maxBodyBytes: 1_048_576,
  maxHeaderBytes: 16_384,
  bodyTimeoutMs: 10_000,
  idleTimeoutMs: 75_000,
};

/**
 * Starts an HTTP listener.
 *
 * @param parts Address, bounds and handler.
 */
export async function startListener(parts: ListenerParts): Promise<Listener> {
  const newConnections = new NewConnections();
  const onRequest = async (
    message: IncomingMessage,
    response: ServerResponse,
  ) => {
    if (await newConnections.isCallerThere(message.socket)) {
      await serveMessage(parts, message, response);
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
  server.on("clientError", refuseClient);
  const at = parts.address.lastIndexOf(":");
  const host = parts.address.slice(0, at).replace(/^\[|\]$/g, "");
  server.listen({
    host,
    port: Number(parts.address.slice(at + 1)),
    backlog: ACCEPT_BACKLOG,
  });
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    setTls: (files) => {
      if ("setSecureContext" in server) server.setSecureContext(files);
    },
    close: async () => {
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      server.closeIdleConnections();
      // What is still open is being written to: it gets time, but not for ever.
      const ended = new AbortController();
      scheduleEvery(
        systemClock,
        CLOSE_CHECK_MS,
        () => server.closeIdleConnections(),
        ended.signal,
      );
      systemClock.schedule(
        CLOSE_PATIENCE_MS,
        () => server.closeAllConnections(),
        ended.signal,
      );
      await closed;
      ended.abort("closed");
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
): Promise<void> {
  const gone = new AbortController();
  setMaxListeners(0, gone.signal);
  response.on("close", () => {
    if (!response.writableFinished) gone.abort();
  });
  const reply = await parts.handle(toRequest(parts, message, gone.signal));
  if (response.destroyed) {
    if (reply.kind === "events") await endUnread(reply.events);
    return;
  }
  if (reply.kind === "whole") {
    const body = typeof reply.body === "string"
      ? Buffer.from(reply.body)
      : reply.body;
    // A body that was not read leaves the connection in an unknown state.
    const isUnread = !message.complete;
    response.writeHead(reply.status, {
      ...reply.headers,
      "content-length": String(body.length),
      ...(isUnread ? { connection: "close" } : {}),
    });
    response.end(body);
    return;
  }
  await writeEvents(response, reply);
}

/**
 * Ends a stream whose caller went away before its first event. It is begun and
 * then left: a generator that was never begun would not run its clean-up.
 */
async function endUnread(events: AsyncIterable<unknown>): Promise<void> {
  for await (const _ of events) break;
}

async function writeEvents(
  response: ServerResponse,
  reply: Extract<Reply, { kind: "events" }>,
): Promise<void> {
  response.writeHead(200, {
    ...reply.headers,
    "content-type": "text/event-stream",
    "cache-control": "no-store",
  });
  response.flushHeaders();
  for await (const event of reply.events) {
    if (response.destroyed) break;
    const id = event.id === undefined ? "" : `id: ${event.id}\n`;
    const isRoomLeft = response.write(`${id}data: ${event.data}\n\n`);
    if (!isRoomLeft) await waitForDrain(response);
  }
  response.end();
}

/** A slow reader holds back the stream, so that it costs bounded memory. */
async function waitForDrain(response: ServerResponse): Promise<void> {
  if (response.destroyed) return;
  await new Promise<void>((resolve) => {
    const finish = () => {
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    };
    response.on("drain", finish);
    response.on("close", finish);
  });
}

function toRequest(
  parts: ListenerParts,
  message: IncomingMessage,
  signal: AbortSignal,
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
    readBody: () => readBody(parts.limits, message),
    signal,
  };
}

async function readBody(
  limits: ListenerLimits,
  message: IncomingMessage,
): Promise<Result<Buffer, Failure>> {
  const announced = Number(message.headers["content-length"] ?? "0");
  if (announced > limits.maxBodyBytes) return err(createTooLarge(limits));
  const chunks: Buffer[] = [];
  let size = 0;
  let isLate = false;
  const read = new AbortController();
  systemClock.schedule(limits.bodyTimeoutMs, () => {
    isLate = true;
    message.emit("late");
  }, read.signal);
  try {
    return await new Promise((resolve) => {
      message.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size <= limits.maxBodyBytes) chunks.push(chunk);
        else {
          message.pause();
          resolve(err(createTooLarge(limits)));
        }
      });
      message.on("end", () => resolve(ok(Buffer.concat(chunks))));
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

function refuseClient(
  error: NodeJS.ErrnoException,
  socket: import("node:stream").Duplex,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const isTooLong = error.code === "HPE_HEADER_OVERFLOW";
  const message = isTooLong
    ? "The headers are over the size limit"
    : "The request is malformed";
  const body = JSON.stringify(
    toErrorBody(createFailure("BAD_REQUEST", message)),
  );
  const status = isTooLong
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
