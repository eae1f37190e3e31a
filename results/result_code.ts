/**
 * The numbered result codes of havenspur. `docs/RESULTS.md` holds the same
 * table; a test compares the two.
 * @module
 */

/** Whether the work behind a refused request ran. */
export type RanState = "not-run" | "ran" | "unknown";

/** What a caller may do after a result. */
export type RetryAdvice = "never" | "later" | "elsewhere";

/** One row of the table of result codes. */
export interface ResultRow {
  /** Number that callers get in `error.code`; never reused. */
  readonly code: number;
  /** HTTP status sent with the result. */
  readonly status: number;
  /** Whether the work ran. */
  readonly ran: RanState;
  /** What the caller may do next. */
  readonly retry: RetryAdvice;
  /** One sentence for people. */
  readonly text: string;
}

function createRow(
  code: number,
  status: number,
  ran: RanState,
  retry: RetryAdvice,
  text: string,
): ResultRow {
  return { code, status, ran, retry, text };
}

/** Every result code, by name. */
export const RESULT_CODES = {
  BAD_REQUEST: createRow(
    1001,
    400,
    "not-run",
    "never",
    "The request is malformed",
  ),
  BODY_TOO_LARGE: createRow(
    1002,
    413,
    "not-run",
    "never",
    "The body is over the size limit",
  ),
  UNAUTHENTICATED: createRow(
    1003,
    401,
    "not-run",
    "never",
    "No valid token was given",
  ),
  FORBIDDEN: createRow(
    1004,
    403,
    "not-run",
    "never",
    "The team may not use this",
  ),
  UNKNOWN_MODEL: createRow(
    1005,
    404,
    "not-run",
    "never",
    "No service offers this model",
  ),
  UNKNOWN_SERVICE: createRow(
    1006,
    404,
    "not-run",
    "never",
    "No plain service has this name",
  ),
  NOT_FOUND: createRow(
    1007,
    404,
    "not-run",
    "never",
    "Nothing is at this path",
  ),
  KEY_BODY_MISMATCH: createRow(
    1008,
    422,
    "not-run",
    "never",
    "The idempotency key was used with another body",
  ),
  KEY_REQUIRED: createRow(
    1009,
    400,
    "not-run",
    "never",
    "A non-idempotent call needs an Idempotency-Key",
  ),
  BODY_TIMEOUT: createRow(
    1010,
    408,
    "not-run",
    "later",
    "The body did not arrive in time",
  ),
  RESIDENCY_REFUSED: createRow(
    1101,
    403,
    "not-run",
    "elsewhere",
    "The residency rules forbid this region",
  ),
  FORWARD_LOOP: createRow(
    1102,
    508,
    "not-run",
    "never",
    "A forwarded request may not be forwarded again",
  ),
  CREDIT_REFUSED: createRow(
    1103,
    503,
    "not-run",
    "elsewhere",
    "The region granted no credit",
  ),
  TEAM_LIMIT: createRow(
    1201,
    429,
    "not-run",
    "later",
    "The team is over its limit",
  ),
  OVERLOADED: createRow(
    1202,
    503,
    "not-run",
    "later",
    "The service is overloaded",
  ),
  DEADLINE_PASSED: createRow(
    1203,
    504,
    "not-run",
    "never",
    "The deadline passed before the work was started",
  ),
  NO_ENGINE: createRow(
    1204,
    503,
    "not-run",
    "later",
    "No backend server is available",
  ),
  LEAVING: createRow(
    1205,
    503,
    "not-run",
    "elsewhere",
    "This instance is leaving",
  ),
  NOT_READY: createRow(
    1206,
    503,
    "not-run",
    "elsewhere",
    "This instance has no configuration yet",
  ),
  JOURNAL_UNAVAILABLE: createRow(
    1301,
    503,
    "not-run",
    "later",
    "The run journal cannot be written",
  ),
  RUN_IN_PROGRESS: createRow(
    1302,
    409,
    "unknown",
    "later",
    "A run under this key is in progress",
  ),
  RUN_UNKNOWN: createRow(
    1303,
    409,
    "unknown",
    "never",
    "A run under this key was started and its end is not known",
  ),
  RUN_ANSWER_NOT_KEPT: createRow(
    1304,
    409,
    "ran",
    "never",
    "The run under this key ended and its answer was not kept",
  ),
  BACKEND_FAILED: createRow(
    1401,
    502,
    "unknown",
    "later",
    "The backend server failed",
  ),
  STREAM_BROKEN: createRow(
    1402,
    502,
    "unknown",
    "later",
    "The stream broke before its end",
  ),
  BACKEND_REFUSED: createRow(
    1403,
    503,
    "not-run",
    "later",
    "The backend server refused the work",
  ),
  TIMEOUT: createRow(
    1404,
    504,
    "unknown",
    "later",
    "The deadline passed during the work",
  ),
  CANCELLED: createRow(1405, 499, "unknown", "never", "The caller went away"),
  CALL_QUARANTINED: createRow(
    1406,
    503,
    "not-run",
    "later",
    "Servers ended under this call",
  ),
  CONFLICT: createRow(
    1501,
    409,
    "not-run",
    "never",
    "The resource was changed by someone else",
  ),
  INVALID_RESOURCE: createRow(
    1502,
    422,
    "not-run",
    "never",
    "The resource is not valid",
  ),
  STORE_UNAVAILABLE: createRow(
    1503,
    503,
    "not-run",
    "later",
    "The store cannot be reached",
  ),
  WRITE_UNKNOWN: createRow(
    1504,
    504,
    "unknown",
    "later",
    "The end of the write is not known",
  ),
  BATCH_TOO_LARGE: createRow(
    1505,
    413,
    "not-run",
    "never",
    "The batch holds too many items",
  ),
  INTERNAL: createRow(
    1901,
    500,
    "unknown",
    "later",
    "An internal error occurred",
  ),
} as const satisfies Record<string, ResultRow>;

/** Name of a result code. */
export type ResultName = keyof typeof RESULT_CODES;
