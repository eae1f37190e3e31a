import { once } from "node:events";
import { connect } from "node:net";

/** Time for which the event loop is blocked once a caller has disconnected, before its connection is accepted, in milliseconds. */
const ACCEPT_DELAY_MS = 50;

/** Blocks the event loop for a time in milliseconds, as work for other calls does. */
export function blockEventLoop(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

/**
 * Sends a request to a listener of this process, and disconnects before the listener
 * accepts the connection.
 *
 * @param port Port of the listener.
 * @param host Address of the listener.
 * @param request The whole request, as it is sent.
 */
export async function disconnectBeforeAccept(
  port: number,
  host: string,
  request: string,
): Promise<void> {
  const caller = connect(port, host);
  caller.end(request);
  caller.once("connect", () => {
    setImmediate(() => {
      caller.destroy();
      blockEventLoop(ACCEPT_DELAY_MS);
    });
  });
  await once(caller, "close");
}
