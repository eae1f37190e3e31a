import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Duplex } from "node:stream";
import findMyWay, { type HTTPMethod } from "find-my-way";
import { ByteCollector } from "../bytes/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { ConnectionTimeouts } from "./connection_timeouts.ts";
import { OpenRequests } from "./open_requests.ts";
import { startListening } from "./start_listening.ts";

/** Answer of a {@linkcode EndpointRoute}. */
export interface EndpointAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Method, path and handler of a call that a {@linkcode EndpointServer} answers. */
export interface EndpointRoute {
  readonly method: HTTPMethod;
  readonly path: string;
  /**
   * Returns the answer to a call.
   *
   * @param input The call.
   */
  handle(input: EndpointCall): EndpointAnswer | Promise<EndpointAnswer>;
}

/** A call to a {@linkcode EndpointRoute}. */
export interface EndpointCall {
  readonly query: URLSearchParams;
  readonly body: string;
  /** IP address of the caller. */
  readonly caller: string;
}

/** Address and routes of a {@linkcode EndpointServer}. */
export interface EndpointServerParts {
  readonly host: string;
  readonly port: number;
  readonly routes: readonly EndpointRoute[];
  /** Time after which an idle connection is closed, in milliseconds. Default: 15,000. */
  readonly idleTimeoutMs?: number;
  /** Receives the errors of handlers and of the server. */
  readonly logger: Logger;
}

/** HTTP server that is running. */
export interface EndpointServer {
  readonly port: number;
  /** Closes the port and all connections. */
  close(): void;
}

/** Time after which an idle connection is closed by default, in milliseconds. */
const IDLE_TIMEOUT_MS = 15_000;
/**
 * Maximum size of a body, in bytes. Calls to these routes carry only a few names; a call with
 * a larger body is refused.
 */
const MAX_BODY_BYTES = 65_536;

/**
 * Starts an HTTP server for calls with small bodies, such as those that read the
 * readiness, the directory or the metrics.
 *
 * @param parts Address and routes.
 */
export async function startEndpointServer(
  parts: EndpointServerParts,
): Promise<EndpointServer> {
  const router = findMyWay();
  parts.routes.forEach((route) => {
    router.on(route.method, route.path, (request, response) => {
      const message = request as IncomingMessage;
      void answerCall(route, message, response as ServerResponse, parts.logger);
    });
  });
  const requests = new OpenRequests(refuseInvalidRequest);
  const server = createServer((request, response) => {
    if (requests.begin(request, response)) router.lookup(request, response);
  });
  const { host, idleTimeoutMs = IDLE_TIMEOUT_MS, logger, port } = parts;
  server.keepAliveTimeout = idleTimeoutMs;
  new ConnectionTimeouts(server, {
    refuse: (error, socket) => requests.refuse(error, socket),
  });
  return {
    port: await startListening(server, { host, port }, logger),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Returns a JSON answer. */
export function toJsonAnswer(status: number, value: unknown): EndpointAnswer {
  const contentType = "application/json";
  return { status, contentType, body: JSON.stringify(value) };
}

/** Answers a call; a call whose caller disconnects before its body ends gets no answer. */
async function answerCall(
  route: EndpointRoute,
  message: IncomingMessage,
  response: ServerResponse,
  logger: Logger,
): Promise<void> {
  // The address is gone once the caller has disconnected.
  const caller = message.socket.remoteAddress ?? "";
  const body = await readBody(message);
  if (body === undefined) return;
  const isTooLarge = body === "too-large";
  // The rest of the body can't be distinguished from the next call.
  if (isTooLarge) response.shouldKeepAlive = false;
  const { status, contentType, body: text } = isTooLarge
    ? toJsonAnswer(413, { error: `the body is over ${MAX_BODY_BYTES} bytes` })
    : await handleCall(
      route,
      { query: readQuery(message), body: body.toString("utf8"), caller },
      logger,
    );
  response.writeHead(status, {
    "Content-Type": contentType,
    "Content-Length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function handleCall(
  route: EndpointRoute,
  input: EndpointCall,
  logger: Logger,
): Promise<EndpointAnswer> {
  try {
    return await route.handle(input);
  } catch (error) {
    const { path } = route;
    const { message, stack } = error as Error;
    logger.error("call to an endpoint failed", {
      path,
      reason: message,
      stack,
    });
    return toJsonAnswer(500, { error: "the call failed" });
  }
}

function readQuery({ url = "/" }: IncomingMessage): URLSearchParams {
  const at = url.indexOf("?");
  return new URLSearchParams(at < 0 ? "" : url.slice(at));
}

/** Returns the body of a call, or `undefined` if the connection breaks before its end. */
async function readBody(
  message: IncomingMessage,
): Promise<Buffer | "too-large" | undefined> {
  const body = new ByteCollector();
  try {
    // The end of the default iteration would close the connection.
    for await (const chunk of message.iterator({ destroyOnReturn: false })) {
      body.append(chunk);
      if (body.size > MAX_BODY_BYTES) return "too-large";
    }
  } catch {
    // The only error of a message is that its caller disconnected.
    return undefined;
  }
  return body.take();
}

/** Refuses bytes that are not a valid request, or that arrive too late. */
function refuseInvalidRequest(
  error: NodeJS.ErrnoException,
  socket: Duplex,
): void {
  const status = toRefusalStatus(error);
  const line = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
  socket.write(`${line}\r\nConnection: close\r\n\r\n`);
  socket.destroy(error);
}

function toRefusalStatus({ code }: NodeJS.ErrnoException): number {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return 431;
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return 413;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return 408;
    default:
      return 400;
  }
}
