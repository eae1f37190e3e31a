import { type Exchange, isRetryable } from "./exchange.ts";

/**
 * A retryable call whose server is silent is sent to another destination after this many
 * times the estimated time to its first byte, and not before the fraction of its latency
 * objective below, so that the second server can still answer in time.
 */
const TIMEOUT_ESTIMATE_FACTOR = 4;
const MIN_TIMEOUT_TARGET_FRACTION = 0.5;

/**
 * Returns how long a send waits for the first byte before the call is handed over to
 * another destination, in milliseconds. Returns `undefined` if the send waits until the
 * deadline of the call: only retryable calls that have more than one attempt left are
 * handed over.
 *
 * @param exchange The call.
 * @param estimateMs Estimated time to the first byte, in milliseconds, round trip included.
 */
export function computeFirstByteTimeoutMs(
  exchange: Exchange,
  estimateMs: number,
): number | undefined {
  if (!isRetryable(exchange) || exchange.attemptsLeft < 2) return undefined;
  return Math.max(
    TIMEOUT_ESTIMATE_FACTOR * estimateMs,
    MIN_TIMEOUT_TARGET_FRACTION * exchange.route.targetMs,
  );
}
