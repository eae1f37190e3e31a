import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { OpenResponses } from "./open_responses.ts";

/** Refuses bytes that are not a valid request, or that arrive too late, and ends the connection. */
export type WriteRefusal = (
  error: NodeJS.ErrnoException,
  socket: Duplex,
) => void;

/** Requests of all connections that have no whole answer yet. */
export class OpenRequests {
  /** Responses to these requests. */
  readonly responses = new OpenResponses();
  readonly #messages = new WeakMap<Duplex, Set<IncomingMessage>>();
  readonly #writeRefusal: WriteRefusal;
  /** Connections that end with the answers in progress or with a refusal. */
  readonly #closing = new WeakSet<Duplex>();

  /** @param writeRefusal Writes a refusal to a connection, and ends it. */
  constructor(writeRefusal: WriteRefusal) {
    this.#writeRefusal = writeRefusal;
  }

  /** Begins a request. Returns whether it may be served. */
  begin(message: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = message;
    if (this.#closing.has(socket)) return false;
    const messages = this.#messages.get(socket) ?? new Set();
    this.#messages.set(socket, messages.add(message));
    this.responses.onceClosed(response, () => {
      messages.delete(message);
      if (this.#closing.has(socket) && messages.size === 0) socket.end();
    });
    return true;
  }

  /**
   * Refuses bytes that are not a valid request. Behind a request that was read and is being
   * served, the connection is closed after its answer instead: the refusal would be taken for
   * that answer.
   */
  refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    this.#closing.add(socket);
    const messages = [...this.#messages.get(socket) ?? []];
    const isServed = messages.some(({ complete }) => complete);
    const isClosed = !socket.writable || error.code === "ECONNRESET";
    if (isClosed) socket.destroy();
    else if (!isServed) this.#writeRefusal(error, socket);
  }
}
