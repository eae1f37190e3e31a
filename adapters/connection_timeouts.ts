import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { setImmediate } from "node:timers/promises";
import { waitFor } from "../clock/mod.ts";
import { systemClock } from "./system_clock.ts";

/**
 * Time for which Node keeps an idle connection beyond the timeout that it tells callers, in
 * milliseconds. Callers that respect the timeout never meet the close.
 */
const TOLD_MARGIN_MS = 1_000;
/**
 * Time for the rest of a late request of which bytes had arrived unread, in milliseconds:
 * several round trips between regions.
 */
const LATE_REQUEST_MS = 1_000;
/**
 * Maximum duration of an iteration of the event loop after which what arrived during it
 * counts as read, in milliseconds. A request can arrive between a read and a close.
 */
const QUICK_READ_MS = 5;
/** Maximum number of iterations to wait for a quick one; an overloaded process has none. */
const MAX_READS = 50;

/** What a {@linkcode ConnectionTimeouts} does with bytes that are not a request in time. */
export interface ConnectionTimeoutsParts {
  /** Refuses bytes that are not a valid request or arrive too late; see `clientError` of Node. */
  readonly refuse: (error: NodeJS.ErrnoException, socket: Duplex) => void;
  /**
   * Returns the request of a connection whose body is being read, if any. Default: the
   * listener has no timeout of its own for bodies.
   */
  readonly findUnread?: (socket: Duplex) => IncomingMessage | undefined;
}

/** A request that is late; its message is known once its head has arrived. */
interface LateRequest {
  message: IncomingMessage | undefined;
}

/**
 * Applies the timeouts of an HTTP server to what its peers have sent, not to what it has read.
 * Timers run before bytes that have arrived are read. After a standstill of the process, Node
 * itself would close an idle connection with a whole request on it, or refuse that request.
 */
export class ConnectionTimeouts {
  readonly #server: Server;
  readonly #parts: ConnectionTimeoutsParts;
  /**
   * Idle connections that are closed after the next read, with the bytes received when their
   * timers ended; `undefined`: there are none.
   */
  #idle: Map<Socket, number> | undefined;
  readonly #late = new Map<Duplex, LateRequest>();

  /**
   * @param server Server that does not listen yet.
   * @param parts How bytes that are not a request in time are refused.
   */
  constructor(server: Server, parts: ConnectionTimeoutsParts) {
    this.#server = server;
    this.#parts = parts;
    // With a listener, Node itself does not close the connection.
    server.on("timeout", (socket) => void this.#closeUnlessUsed(socket));
    const closeIdleNow = server.closeIdleConnections.bind(server);
    // Node's close() calls this method too.
    server.closeIdleConnections = () =>
      void awaitQuickRead().then(closeIdleNow);
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      if (error.code === "ERR_HTTP_REQUEST_TIMEOUT") {
        void this.#refuseUnlessArrived(error, socket as Socket);
      } else parts.refuse(error, socket);
    });
    server.on("request", (message) => {
      const late = this.#late.get(message.socket);
      if (late !== undefined) late.message ??= message;
    });
  }

  /**
   * Sets the timeout of idle connections. For those that are idle now, it runs from now on: a
   * shorter one is news to their callers.
   *
   * @param timeoutMs Timeout that callers are told, in milliseconds.
   * @param sockets Open connections.
   */
  setIdleTimeout(timeoutMs: number, sockets: Iterable<Socket>): void {
    if (timeoutMs === this.#server.keepAliveTimeout) return;
    this.#server.keepAliveTimeout = timeoutMs;
    this.#idle?.clear();
    this.#idle = undefined;
    [...sockets].filter(isIdle).forEach((socket) =>
      socket.setTimeout(timeoutMs + TOLD_MARGIN_MS)
    );
  }

  async #closeUnlessUsed(socket: Socket): Promise<void> {
    if (this.#idle !== undefined) {
      this.#idle.set(socket, socket.bytesRead);
      return;
    }
    const idle = new Map([[socket, socket.bytesRead]]);
    this.#idle = idle;
    await awaitQuickRead();
    if (this.#idle === idle) this.#idle = undefined;
    idle.forEach((bytesRead, each) => {
      if (each.bytesRead === bytesRead) each.destroy();
    });
  }

  async #refuseUnlessArrived(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): Promise<void> {
    // Node has taken its own listener off the connection.
    socket.once(
      "error",
      (next) => this.#server.emit("clientError", next, socket),
    );
    const late: LateRequest = { message: this.#parts.findUnread?.(socket) };
    this.#late.set(socket, late);
    const { bytesRead } = socket;
    await awaitQuickRead();
    const hasArrived = socket.bytesRead !== bytesRead &&
      await this.#awaitRest(late);
    this.#late.delete(socket);
    if (!hasArrived && !socket.destroyed) this.#parts.refuse(error, socket);
  }

  /** Resolves with whether the rest of a late request has arrived in the time that it gets. */
  async #awaitRest(late: LateRequest): Promise<boolean> {
    const { headersTimeout, requestTimeout } = this.#server;
    const wasHeadLate = late.message === undefined;
    if (late.message?.complete) return true;
    await waitFor(systemClock, LATE_REQUEST_MS);
    const { message } = late;
    if (message === undefined || message.complete) return message !== undefined;
    if (!wasHeadLate) return false;
    if (requestTimeout === 0) return true;
    await waitFor(systemClock, Math.max(0, requestTimeout - headersTimeout));
    return message.complete;
  }
}

/** Returns whether a connection waits for its next request: only then it has a timeout. */
function isIdle({ timeout = 0 }: Socket): boolean {
  return timeout > 0;
}

/**
 * Resolves once the event loop has read all that has arrived, in an iteration so short that
 * hardly anything can have arrived since.
 */
async function awaitQuickRead(): Promise<void> {
  await setImmediate();
  for (let reads = 0; reads < MAX_READS; reads++) {
    const startMs = systemClock.nowMs();
    await setImmediate();
    if (systemClock.nowMs() - startMs <= QUICK_READ_MS) return;
  }
}
