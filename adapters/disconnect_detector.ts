import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";

/**
 * Maximum number of connections that wait to be accepted. Node accepts one connection
 * per event loop iteration, and an iteration takes 1 to 5 ms: behind a longer queue, a
 * caller would have disconnected before its connection is accepted. The queue is long
 * enough for the callers of another instance that stops, which connect at the same time.
 * Callers whose connection does not fit into the queue go to another instance.
 */
export const ACCEPT_BACKLOG = 128;

/** Detects callers that disconnected before their connection was accepted. */
export class DisconnectDetector {
  readonly #seen = new WeakSet<Socket>();

  /**
   * Returns whether the caller of a request that was read is still connected. With
   * many connections waiting, one can be accepted after its caller has disconnected.
   * The end of such a connection follows its first request, and is read one event loop
   * iteration after that request.
   *
   * @param socket Connection that the request was read from.
   */
  async isConnected(socket: Socket): Promise<boolean> {
    const isFirst = !this.#seen.has(socket);
    this.#seen.add(socket);
    if (isFirst) await waitForNextIteration();
    return socket.readable;
  }
}

/** Resolves after the event loop has polled its sockets once more. */
async function waitForNextIteration(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
