import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/**
 * Notices the end of responses. When a connection breaks, Node closes only the first of its
 * open responses; those to the pipelined requests behind it get no event.
 */
export class OpenResponses {
  readonly #endsByConnection = new WeakMap<Duplex, Set<() => void>>();

  /** Calls back once when a response is closed, or its connection. */
  onceClosed(response: ServerResponse, callback: () => void): void {
    const { socket } = response.req;
    const ends = this.#endsByConnection.get(socket) ?? this.#track(socket);
    const end = () => {
      if (ends.delete(end)) callback();
    };
    ends.add(end);
    response.once("close", end);
  }

  /** Ends the responses of a connection that are still open. */
  endAll(connection: Duplex): void {
    this.#endsByConnection.get(connection)?.forEach((end) => end());
  }

  #track(connection: Duplex): Set<() => void> {
    const ends = new Set<() => void>();
    this.#endsByConnection.set(connection, ends);
    connection.once("close", () => this.endAll(connection));
    return ends;
  }
}
