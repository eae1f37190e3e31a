import type { RawHeaders } from "./call_header_codec.ts";

/** Headers that concern only one connection (RFC 9110, section 7.6.1) or its framing. */
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

/** Upper bound on the time that `Retry-After` can request, in milliseconds. */
const MAX_RETRY_AFTER_MS = 600_000;

/**
 * Returns the time that a `Retry-After` header requests, in milliseconds. Dates are not
 * supported: the clocks of two processes differ by more than most of the requested times.
 *
 * @param text Seconds, possibly with a fraction; `undefined` if the header is missing.
 */
export function parseRetryAfterMs(
  text: string | undefined,
): number | undefined {
  const ms = 1_000 * (parseAmount(text) ?? Number.NaN);
  return Number.isFinite(ms) ? Math.min(ms, MAX_RETRY_AFTER_MS) : undefined;
}

/**
 * Returns the number in a header, or `undefined` if the header is missing, not a number
 * or negative.
 *
 * @param text A decimal number; `undefined` if the header is missing.
 */
export function parseAmount(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const amount = Number(text);
  return Number.isFinite(amount) && amount >= 0 ? amount : undefined;
}

/** Bytes of a header line besides name and value: colon, space and line break. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Returns the size of a header block in HTTP/1.1, in bytes. */
export function measureHeaders(headers: RawHeaders): number {
  const texts = headers.reduce((sum, text) => sum + text.length, 0);
  return texts + HEADER_LINE_OVERHEAD_BYTES * headers.length / 2;
}

/**
 * Returns the headers that are forwarded to the next hop.
 *
 * @param headers Headers as received.
 * @param selectRule Decides on each header that is not one of the fixed connection headers, by
 *   its name in lower case. `unless-named` drops the header if `Connection` names it.
 *   Default: `unless-named` for all.
 */
export function pickForwarded(
  headers: RawHeaders,
  selectRule: (name: string) => "always" | "never" | "unless-named" = () =>
    "unless-named",
): string[] {
  const named = readNamedByConnection(headers);
  const kept: string[] = [];
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase();
    if (CONNECTION_HEADERS.has(name)) continue;
    const rule = selectRule(name);
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
