/** Size and rates of a pool of equal servers. */
export interface PoolRates {
  /** Number of servers: sequences that all engines of the pool decode at once. */
  readonly servers: number;
  /** Arrivals of interactive calls per second. */
  readonly arrivalsPerSecond: number;
  /** Interactive calls that one server completes per second. */
  readonly servedPerSecond: number;
}

/** Result of the stationary queueing model. */
interface WaitEstimate {
  /** Mean wait of interactive calls, in milliseconds. */
  readonly meanWaitMs: number;
}

const TAIL_LIMIT = 1e-9;

/**
 * Returns the maximum number of busy servers at which batch work may start, so
 * that the mean wait of interactive calls stays within a limit. The largest
 * threshold that satisfies the limit is the best one.
 *
 * Source: Gans and Zhou, "A call-routing problem with service-level
 * constraints", 2003, section 3.4: with a simple threshold i, states below i
 * are transient and the pool is an M/M/c queue truncated below i. The model
 * assumes equal mean service times of both kinds of work and an unlimited
 * backlog of batch work.
 *
 * @param rates Size and rates of the pool.
 * @param maxMeanWaitMs Maximum mean wait, in milliseconds.
 * @returns A threshold from 0 to the number of servers.
 */
export function computeBatchThreshold(
  rates: PoolRates,
  maxMeanWaitMs: number,
): number {
  const { servers } = rates;
  const load = rates.arrivalsPerSecond / rates.servedPerSecond;
  if (!(load < servers)) return 0;
  const thresholds = Array.from(
    { length: servers + 1 },
    (_, index) => servers - index,
  );
  return thresholds.find((threshold) =>
    computeWait(rates, threshold).meanWaitMs <= maxMeanWaitMs
  ) ?? 0;
}

/**
 * Returns the mean wait of interactive calls under a threshold.
 *
 * @param rates Size and rates of the pool.
 * @param threshold Maximum number of busy servers at which batch work starts.
 */
export function computeWait(rates: PoolRates, threshold: number): WaitEstimate {
  const { servers, arrivalsPerSecond, servedPerSecond } = rates;
  let weight = 1;
  let total = 1;
  let waiting = 0;
  for (let state = threshold + 1;; state++) {
    weight *= arrivalsPerSecond / (Math.min(state, servers) * servedPerSecond);
    total += weight;
    waiting += Math.max(0, state - servers) * weight;
    if (state > servers && weight < TAIL_LIMIT * total) break;
  }
  // Little's law: the mean wait is the mean number of waiting calls over the arrival rate.
  const meanWaitMs = arrivalsPerSecond === 0
    ? 0
    : (waiting / total / arrivalsPerSecond) * 1_000;
  return { meanWaitMs };
}
