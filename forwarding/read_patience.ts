import { type Exchange, isRepeatable } from "./exchange.ts";

/**
 * Silence after which a call that may be repeated is sent elsewhere: so many times
 * what its answer was estimated to take, and at least this part of its objective,
 * so that the second server can still answer in time.
 */
const SILENCE_ESTIMATES = 4;
const SILENCE_PART_OF_TARGET = 0.5;

/**
 * Returns the silence after which a send is given up for another one, in
 * milliseconds; `undefined`: it is waited for as long as the call has time. Only
 * the first send of a call that may be repeated is cut short.
 *
 * @param exchange The call.
 * @param estimateMs What its first byte was estimated to take, the way included.
 */
export function readPatience(
  exchange: Exchange,
  estimateMs: number,
): number | undefined {
  if (!isRepeatable(exchange) || exchange.attemptsLeft < 2) return undefined;
  return Math.max(
    SILENCE_ESTIMATES * estimateMs,
    SILENCE_PART_OF_TARGET * exchange.route.targetMs,
  );
}
