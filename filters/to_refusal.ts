import { type Failure, readRow, toErrorBody } from "../results/mod.ts";
import type { Reply } from "./exchange.ts";

/**
 * Returns the reply for a failure: its status, headers with its result code and
 * whether the work ran, and the whole failure in the body.
 *
 * @param failure What is sent back.
 * @param headers Additional headers. Default: none.
 */
export function toRefusal(
  failure: Failure,
  headers: Readonly<Record<string, string>> = {},
): Extract<Reply, { kind: "whole" }> {
  const row = readRow(failure);
  const retryAfter: Record<string, string> = failure.retryAfterMs === undefined
    ? {}
    : { "retry-after": String(Math.ceil(failure.retryAfterMs / 1_000)) };
  return {
    kind: "whole",
    status: row.status,
    headers: {
      ...headers,
      "content-type": "application/json",
      "x-result-code": String(row.code),
      "x-ran": row.ran,
      ...retryAfter,
    },
    body: JSON.stringify(toErrorBody(failure)),
  };
}
