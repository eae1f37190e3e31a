import { connect } from "node:net";
import { Cancellation, scheduleAfterReading } from "../clock/mod.ts";
import { parseAddress } from "../ids/mod.ts";
import { systemClock } from "./system_clock.ts";

/** Maximum time to open the connection, in milliseconds: a few round trips within a region. */
const CONNECT_TIMEOUT_MS = 500;
/** How long the open connection must last, in milliseconds: a network may accept it only to reset it. */
const MIN_OPEN_MS = 100;

/**
 * Opens a connection, closes it after a short time without sending a byte, and returns
 * whether that worked.
 *
 * @param address IP address and port.
 */
export function probeConnection(address: string): Promise<boolean> {
  const parsed = parseAddress(address);
  if (parsed === undefined) return Promise.resolve(false);
  return new Promise((resolve) => {
    const socket = connect(parsed);
    const connecting = new Cancellation();
    const ended = new Cancellation();
    const finish = (isReached: boolean) => {
      connecting.cancel();
      ended.cancel();
      socket.destroy();
      resolve(isReached);
    };
    scheduleAfterReading(
      systemClock,
      CONNECT_TIMEOUT_MS,
      () => finish(false),
      connecting,
    );
    socket.once("connect", () => {
      connecting.cancel();
      scheduleAfterReading(
        systemClock,
        MIN_OPEN_MS,
        () => finish(true),
        ended,
      );
    });
    // The failure is what the caller of this function asks for.
    socket.once("error", () => finish(false));
    socket.once("close", () => finish(false));
  });
}
