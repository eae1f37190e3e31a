import type { MeanSample, ShareSample } from "./probability_ratio.ts";

/** Half a hit added to each cell, without which a share of 0 has no deviation. */
const CONTINUITY = 0.5;
const MIN_VARIANCE = 0.01;

/**
 * Repeated two-proportion z-test: returns how many standard errors the canary's share lies
 * above the baseline's by more than `margin`. It is evaluated at each look with the same
 * bound, so its error rate grows with the number of looks. Compared with the sequential
 * test in `npm run bench -- rollouts`.
 */
export function computeShareScore(
  canary: ShareSample,
  baseline: ShareSample,
  margin: number,
): number {
  if (canary.trials === 0 || baseline.trials === 0) return 0;
  const [a, b] = [canary, baseline].map(({ hits, trials }) => {
    const share = (hits + CONTINUITY) / (trials + 2 * CONTINUITY);
    return { share, variance: share * (1 - share) / trials };
  });
  return (a!.share - b!.share - margin) /
    Math.sqrt(a!.variance + b!.variance);
}

/** Repeated Welch test of means; `margin` as above. */
export function computeMeanScore(
  canary: MeanSample,
  baseline: MeanSample,
  margin: number,
): number {
  if (canary.count < 2 || baseline.count < 2) return 0;
  const [a, b] = [canary, baseline].map(({ count, squares, sum }) => {
    const mean = sum / count;
    const variance = Math.max(MIN_VARIANCE, squares / count - mean ** 2);
    return { mean, variance: variance / count };
  });
  return (a!.mean - b!.mean - margin) / Math.sqrt(a!.variance + b!.variance);
}
