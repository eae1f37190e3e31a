import type { AnswerHead } from "./server_client.ts";

/** Why a call gets no answer from a backend server. */
export type RefusalReason =
  | "no-configuration"
  | "no-route"
  /** The call has no key, or one that no team holds. */
  | "unauthenticated"
  /** No region may serve both the route and the team. */
  | "residency"
  /** The team has used up its limit. */
  | "over-limit"
  | "malformed"
  | "too-large"
  | "header-too-large"
  /** The call was not received in full in time. */
  | "too-slow"
  | "leaving"
  /** More calls arrive than this instance can forward. */
  | "overloaded"
  /** This instance is behind, and could end a second send of the call too late. */
  | "behind"
  /** Every server that may run the call is full, or there is none. */
  | "no-room"
  /** This instance reaches no server that may run the call, and knows no instance that does. */
  | "unreachable"
  /** The deadline passed before the call was sent to a server. */
  | "no-time"
  /** Servers crashed while they had the call, whoever sent it; it is sent to no other server. */
  | "quarantined"
  /** A server refused the call, and it may not be sent to another one. */
  | "rejected"
  /** A server had the call and gave no whole answer. */
  | "no-answer"
  /** The deadline passed while a server had the call. */
  | "timed-out"
  /** This instance failed while it handled the call, which may have run. */
  | "failed"
  /** The same send of another instance is being served. */
  | "duplicate";

/** A refusal as sent to the caller. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly message: string;
  /** Time after which the caller may retry, in milliseconds. Default: none is sent. */
  readonly retryAfterMs?: number | undefined;
}

/**
 * HTTP status of each refusal. 429, 503, 408 and 421 guarantee that the call has not run
 * and never will; 409, 500, 502 and 504 guarantee nothing.
 */
const STATUSES: Readonly<Record<RefusalReason, readonly [number, string]>> = {
  "no-configuration": [503, "Service Unavailable"],
  "no-route": [404, "Not Found"],
  "unauthenticated": [401, "Unauthorized"],
  // The caller did nothing wrong, and a later configuration may change home regions.
  "residency": [503, "Service Unavailable"],
  "over-limit": [429, "Too Many Requests"],
  "malformed": [400, "Bad Request"],
  "too-large": [413, "Payload Too Large"],
  "header-too-large": [431, "Request Header Fields Too Large"],
  "too-slow": [408, "Request Timeout"],
  "leaving": [503, "Service Unavailable"],
  "overloaded": [503, "Service Unavailable"],
  "behind": [503, "Service Unavailable"],
  "no-room": [503, "Service Unavailable"],
  "unreachable": [503, "Service Unavailable"],
  "no-time": [503, "Service Unavailable"],
  // Not a 4xx status: it is not proven that the call is what crashes the servers.
  "quarantined": [503, "Service Unavailable"],
  "rejected": [503, "Service Unavailable"],
  "no-answer": [502, "Bad Gateway"],
  "timed-out": [504, "Gateway Timeout"],
  "failed": [500, "Internal Server Error"],
  "duplicate": [409, "Conflict"],
};

/** Returns the reason with a name, or `undefined` for a name that this version does not know. */
export function parseRefusalReason(
  name: string | null,
): RefusalReason | undefined {
  const isKnown = name !== null && Object.hasOwn(STATUSES, name);
  return isKnown ? name as RefusalReason : undefined;
}

const MAY_HAVE_RUN: ReadonlySet<RefusalReason> = new Set([
  "no-answer",
  "timed-out",
  "failed",
  "duplicate",
]);

/** Returns whether a refusal guarantees that the call has not run. */
export function isNotRun(reason: RefusalReason): boolean {
  return !MAY_HAVE_RUN.has(reason);
}

/** Returns the answer that a refusal is sent as. */
export function toRefusalAnswer(
  refusal: Refusal,
): { readonly head: AnswerHead; readonly body: Buffer } {
  const [status, statusText] = STATUSES[refusal.reason];
  const body = Buffer.from(
    JSON.stringify({
      error: { type: refusal.reason, message: refusal.message },
    }),
  );
  const headers = [
    "Content-Type",
    "application/json",
    "Content-Length",
    String(body.length),
  ];
  if (refusal.reason === "unauthenticated") {
    headers.push("WWW-Authenticate", "Bearer");
  }
  if (refusal.retryAfterMs !== undefined) {
    headers.push("Retry-After", formatSeconds(refusal.retryAfterMs));
  }
  return { head: { status, statusText, headers }, body };
}

function formatSeconds(ms: number): string {
  return (Math.max(0, ms) / 1_000).toFixed(3);
}
