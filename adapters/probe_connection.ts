import { connect } from "node:net";
import { parseAddress } from "../ids/mod.ts";

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
    const finish = (isReached: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isReached);
    };
    let timer = setTimeout(() => finish(false), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      timer = setTimeout(() => finish(true), MIN_OPEN_MS);
    });
    // The failure is what the caller of this function asks for.
    socket.once("error", () => finish(false));
    socket.once("close", () => finish(false));
  });
}
