/** Counts of a Bernoulli variable: how many of `trials` were hits. */
export interface ShareSample {
  readonly trials: number;
  readonly hits: number;
}

/** Normal sample by its sums. */
export interface MeanSample {
  readonly count: number;
  readonly sum: number;
  readonly squares: number;
}

/** Two hypotheses on how much larger the canary's share of hits, or its mean, is. */
export interface ExcessHypotheses {
  /** Excess under which the version counts as good. */
  readonly good: number;
  /** Excess from which it counts as bad. */
  readonly bad: number;
}

/** Weight of the prior in the baseline's share: a rare route has few responses. */
const PRIOR_TRIALS = 20;
const PRIOR_HITS = 1;
const MAX_SHARE = 0.95;
/** Smallest deviation of logarithms: a baseline that barely varies makes each canary an outlier. */
const MIN_DEVIATION = 0.35;

/**
 * Wald's sequential probability ratio test of a share: returns the logarithm of the ratio of
 * the likelihoods of "bad" and "good". Ratios of independent samples add up.
 *
 * Source: Wald, "Sequential tests of statistical hypotheses", 1945.
 */
export function computeShareRatio(
  canary: ShareSample,
  baseline: ShareSample,
  { bad, good }: ExcessHypotheses,
): number {
  if (canary.trials === 0) return 0;
  const usual = (baseline.hits + PRIOR_HITS) /
    (baseline.trials + PRIOR_TRIALS);
  const p0 = Math.min(MAX_SHARE - (bad - good), usual + good);
  const p1 = Math.min(MAX_SHARE, p0 + bad - good);
  const misses = canary.trials - canary.hits;
  return canary.hits * Math.log(p1 / p0) +
    misses * Math.log((1 - p1) / (1 - p0));
}

/**
 * The same test of a mean, with the baseline's deviation: the canary's mean exceeds the
 * baseline's by at most `good`, or by at least `bad`.
 */
export function computeMeanRatio(
  canary: MeanSample,
  baseline: MeanSample,
  { bad, good }: ExcessHypotheses,
): number {
  if (canary.count === 0 || baseline.count === 0) return 0;
  const usual = baseline.sum / baseline.count;
  const variance = Math.max(
    MIN_DEVIATION ** 2,
    baseline.squares / baseline.count - usual ** 2,
  );
  const excess = canary.sum / canary.count - usual;
  return canary.count * (bad - good) * (excess - (bad + good) / 2) / variance;
}
