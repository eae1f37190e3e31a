/** Rates of a pool of equal servers. */
export interface PoolRates {
  /** Servers: sequences that all engines of the pool decode at once. */
  readonly servers: number;
  /** Arrivals of interactive work, per second. */
  readonly arrivalsPerSecond: number;
  /** Interactive work that one server ends per second. */
  readonly servedPerSecond: number;
}

/** Probability of states, from the threshold upwards. */
interface Stationary {
  /** Mean wait of interactive work, in milliseconds. */
  readonly meanWaitMs: number;
}

const TAIL_LIMIT = 1e-9;

/**
 * Returns up to how many busy servers batch work may start, so that
 * interactive work waits no longer than an aim on average. The largest
 * threshold that keeps the aim is the best one.
 *
 * Source: Gans and Zhou, "A call-routing problem with service-level
 * constraints", 2003, section 3.4: with a simple threshold i, states below i
 * are transient and the pool is an M/M/c queue cut off below i. It assumes
 * equal mean times of both kinds of work, and an unlimited backlog.
 *
 * @param rates Measured rates.
 * @param aimMs Longest mean wait, in milliseconds.
 * @returns A threshold from 0 to the number of servers.
 */
export function computeThreshold(rates: PoolRates, aimMs: number): number {
  const { servers } = rates;
  const load = rates.arrivalsPerSecond / rates.servedPerSecond;
  if (!(load < servers)) return 0;
  const thresholds = Array.from(
    { length: servers + 1 },
    (_, index) => servers - index,
  );
  return thresholds.find((threshold) =>
    computeWait(rates, threshold).meanWaitMs <= aimMs
  ) ?? 0;
}

/**
 * Returns the mean wait of interactive work under a threshold.
 *
 * @param rates Measured rates.
 * @param threshold Busy servers up to which batch work starts.
 */
export function computeWait(rates: PoolRates, threshold: number): Stationary {
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
  // Little's law: mean number waiting over the arrival rate.
  const meanWaitMs = arrivalsPerSecond === 0
    ? 0
    : (waiting / total / arrivalsPerSecond) * 1_000;
  return { meanWaitMs };
}
