import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";

/**
 * Connections that wait to be accepted. One is accepted a turn of the loop, of 1 to
 * 5 ms: what waits behind so many would be accepted when its caller has gone. Enough
 * for the callers of another instance that ends, who come together. Callers whose
 * connection finds no place go to another instance.
 */
export const ACCEPT_BACKLOG = 128;

/** Tells the callers that have gone before their connection was accepted from the others. */
export class NewConnections {
  readonly #known = new WeakSet<Socket>();

  /**
   * Whether the caller of a request that was read is still there. Connections are
   * accepted late where many wait: the end of one whose caller has gone meanwhile
   * comes behind its first request, and is read a turn later.
   *
   * @param socket Over which the request came.
   */
  async isCallerThere(socket: Socket): Promise<boolean> {
    const isFirst = !this.#known.has(socket);
    this.#known.add(socket);
    if (isFirst) await passTurn();
    return socket.readable;
  }
}

/** Resolves when the loop has read its sockets once more. */
async function passTurn(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
