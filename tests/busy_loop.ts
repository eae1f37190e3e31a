import { once } from "node:events";
import { connect } from "node:net";

/** Time for which the loop is kept from accepting a caller that leaves, in milliseconds. */
const ACCEPTED_LATE_MS = 50;

/** Keeps the event loop from running for a time, as work of other calls does. */
export function blockLoop(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

/**
 * Sends a request to a listener of this process, and leaves before the listener
 * gets to accept the connection.
 *
 * @param port Where it listens.
 * @param host The same.
 * @param request All bytes of it.
 */
export async function leaveUnaccepted(
  port: number,
  host: string,
  request: string,
): Promise<void> {
  const caller = connect(port, host);
  caller.end(request);
  caller.once("connect", () => {
    setImmediate(() => {
      caller.destroy();
      blockLoop(ACCEPTED_LATE_MS);
    });
  });
  await once(caller, "close");
}
