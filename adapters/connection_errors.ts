import type { Socket } from "node:net";
import type { AnswerFraming } from "../forwarding/mod.ts";

/** Codes of errors with which a connection cannot be opened. */
const CONNECT_CODES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
];
/** Code of undici's error when a connection is not opened in time. */
const CONNECT_TIMEOUT_CODE = "UND_ERR_CONNECT_TIMEOUT";

/** Codes of errors that occur when the other side closes the connection during a request. */
const CLOSED_CODES: readonly string[] = [
  "UND_ERR_SOCKET",
  "ECONNRESET",
  "EPIPE",
];

/**
 * Returns whether a request failed because the other side closed the connection.
 *
 * @param error Error that an HTTP client threw.
 */
export function isConnectionClosedError(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code !== undefined && CLOSED_CODES.includes(code);
}

/**
 * Returns whether a request failed before any byte of it was sent, as no connection was opened.
 * An open connection fails with the same codes if a router on its way loses the host: what was
 * sent may have arrived then.
 *
 * @param error Error that an HTTP client threw.
 */
export function isNotSentError(error: unknown): boolean {
  // A name with several addresses fails with the errors of all of them.
  if (error instanceof AggregateError && error.errors.length > 0) {
    return error.errors.every(isNotSentError);
  }
  const { code, syscall } = error as NodeJS.ErrnoException;
  if (code === CONNECT_TIMEOUT_CODE) return true;
  return syscall === "connect" && code !== undefined &&
    CONNECT_CODES.includes(code);
}

/**
 * Returns an error if an answer whose end only its connection tells was reset, and `undefined`
 * otherwise. undici takes such an answer for a complete one.
 *
 * @param framing How the end of the answer's body is told.
 * @param socket Connection of the answer.
 */
export function findResetError(
  framing: AnswerFraming,
  socket: Socket | undefined,
): Error | undefined {
  if (framing !== "connection" || !hasBeenReset(socket)) return undefined;
  const error = new Error("The connection was reset within the answer");
  return Object.assign(error, { code: "ECONNRESET" });
}

/**
 * Returns whether the other side has reset a connection that is reported as ended.
 *
 * If data and a reset arrive within one event loop iteration, libuv reports an end and
 * no error (its shortcut for a hang-up after a partial read). The operating system
 * still reports the reset: a connection that was reset has no remote address. Node
 * caches the remote address on its first read, so it is read only here.
 */
function hasBeenReset(socket: Socket | undefined): boolean {
  if (socket === undefined || socket.errored) return true;
  return !socket.destroyed && socket.remoteAddress === undefined;
}
