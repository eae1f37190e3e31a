import {
  RESULT_CODES,
  type ResultName,
  type ResultRow,
} from "./result_code.ts";

/** Optional parts of a failure. */
export interface FailureOptions {
  /** Time after which the caller should retry, in milliseconds. Default: none. */
  readonly retryAfterMs?: number;
  /** Structured facts for the caller, such as a conflicting version. Default: none. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** An expected failure with its numbered result code. */
export interface Failure extends FailureOptions {
  /** Name of the result code. */
  readonly name: ResultName;
  /** Sentence for people: what was wanted and what was got. */
  readonly message: string;
}

/**
 * Returns a failure.
 *
 * @param name Result code.
 * @param message What was wanted and what was got.
 * @param options Optional parts.
 * @returns The failure.
 */
export function createFailure(
  name: ResultName,
  message: string,
  options: FailureOptions = {},
): Failure {
  return { name, message, ...options };
}

/**
 * Returns the table row of a failure.
 *
 * @param failure Any failure.
 * @returns The row: code, HTTP status, whether the work ran, and the retry advice.
 */
export function readRow(failure: Failure): ResultRow {
  return RESULT_CODES[failure.name];
}

/**
 * Returns the JSON body that callers get for a failure, in the shape of
 * OpenAI-compatible errors with the additional fields `code`, `ran` and `retry`.
 *
 * @param failure Any failure.
 * @returns A plain object.
 */
export function toErrorBody(failure: Failure): Record<string, unknown> {
  const row = readRow(failure);
  const error = {
    code: row.code,
    type: failure.name.toLowerCase(),
    message: failure.message,
    ran: row.ran,
    retry: row.retry,
    ...(failure.retryAfterMs === undefined
      ? {}
      : { retry_after_ms: failure.retryAfterMs }),
    ...(failure.details === undefined ? {} : { details: failure.details }),
  };
  return { error };
}
