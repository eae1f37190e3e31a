import type { RawHeaders } from "./call_header_codec.ts";
import { readHeader } from "./http_headers.ts";

/**
 * How the end of an answer's body is told (RFC 9112, section 6.3).
 *
 * `empty`: there is no body. `length`: the head has its length. `chunked`: the last chunk ends
 * it. `connection`: only the end of the connection ends it, so that a body which was cut
 * looks like a complete one.
 */
export type AnswerFraming = "empty" | "length" | "chunked" | "connection";

/** Statuses of answers that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns how the end of an answer's body is told.
 *
 * @param method Method of the call.
 * @param answer Status and headers of the answer.
 */
export function readAnswerFraming(
  method: string,
  answer: { readonly status: number; readonly headers: RawHeaders },
): AnswerFraming {
  const { headers, status } = answer;
  if (method === "HEAD" || BODILESS_STATUSES.has(status)) return "empty";
  const codings = readHeader(headers, "transfer-encoding");
  if (codings !== undefined) {
    // Only a last coding of `chunked` marks the end of the body.
    return /(?:^|,)\s*chunked\s*$/i.test(codings) ? "chunked" : "connection";
  }
  const hasLength = readHeader(headers, "content-length") !== undefined;
  return hasLength ? "length" : "connection";
}
