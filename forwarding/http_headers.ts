import type { RawHeaders } from "./call_grammar.ts";

/** Headers that concern one connection only (RFC 9110, section 7.6.1), or its framing. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Returns the first value of a header, or `undefined`. */
export function readHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let at = 0; at < headers.length; at += 2) {
    const each = headers[at]!;
    if (each.length === name.length && each.toLowerCase() === name) {
      return headers[at + 1];
    }
  }
  return undefined;
}

/** Returns all values of a header, in order. */
export function listHeaders(
  headers: RawHeaders,
  name: string,
): readonly string[] {
  const values: string[] = [];
  for (let at = 0; at < headers.length; at += 2) {
    const each = headers[at]!;
    if (each.length === name.length && each.toLowerCase() === name) {
      values.push(headers[at + 1]!);
    }
  }
  return values;
}

/** Longest time that is waited for, in milliseconds, whatever a server asks for. */
const MAX_RETRY_AFTER_MS = 600_000;

/**
 * Returns the time that `Retry-After` names, in milliseconds. Dates are not read: the
 * clocks of two processes differ by more than most such times.
 *
 * @param text Seconds, maybe with a fraction; `undefined`: the header is not there.
 */
export function parseRetryAfterMs(
  text: string | undefined,
): number | undefined {
  const ms = 1_000 * (parseAmount(text) ?? Number.NaN);
  return Number.isFinite(ms) ? Math.min(ms, MAX_RETRY_AFTER_MS) : undefined;
}

/**
 * Returns the number that a header holds, or `undefined` where it holds none that is 0 or
 * more.
 *
 * @param text A decimal number; `undefined`: the header is not there.
 */
export function parseAmount(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const amount = Number(text);
  return Number.isFinite(amount) && amount >= 0 ? amount : undefined;
}

/** Bytes of a header line beside name and value: colon, space and line end. */
const LINE_EXTRA_BYTES = 4;

/** Size of a header block in bytes, as HTTP/1.1 writes it. */
export function measureHeaders(headers: RawHeaders): number {
  const texts = headers.reduce((sum, text) => sum + text.length, 0);
  return texts + LINE_EXTRA_BYTES * headers.length / 2;
}

/**
 * Returns the headers that go on to the next hop.
 *
 * @param headers As received.
 * @param isKept Decides on a header in lower case that concerns more than the
 *   connection; also asked for one that `Connection` names.
 */
export function pickForwarded(
  headers: RawHeaders,
  isKept: (name: string) => "always" | "never" | "unless-named" = () =>
    "unless-named",
): string[] {
  const named = readNamedByConnection(headers);
  const kept: string[] = [];
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name)) continue;
    const rule = isKept(name);
    if (rule === "never") continue;
    if (rule === "unless-named" && named?.has(name)) continue;
    kept.push(headers[at]!, headers[at + 1]!);
  }
  return kept;
}

function readNamedByConnection(
  headers: RawHeaders,
): ReadonlySet<string> | undefined {
  const value = readHeader(headers, "connection");
  if (value === undefined) return undefined;
  return new Set(value.split(",").map((name) => name.trim().toLowerCase()));
}
