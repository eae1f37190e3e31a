/** Errors before any byte of a request went out. */
const NOT_SENT_CODES: readonly string[] = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** Errors of a connection that the other side ended while a request was there. */
const CLOSED_CODES: readonly string[] = [
  "UND_ERR_SOCKET",
  "ECONNRESET",
  "EPIPE",
];

/**
 * Whether the other side ended the connection.
 *
 * @param error What a client threw.
 */
export function isClosed(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code !== undefined && CLOSED_CODES.includes(code);
}

/**
 * Whether a request failed before any byte of it went out.
 *
 * @param error What a client threw.
 */
export function isNotSent(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code !== undefined && NOT_SENT_CODES.includes(code);
}
