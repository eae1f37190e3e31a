import {
  computeMeanRatio,
  computeShareRatio,
  type ExcessHypotheses,
  type MeanSample,
  type ShareSample,
} from "./probability_ratio.ts";
import { computeMeanScore, computeShareScore } from "./z_score.ts";

/** Samples of the canary and of the versions in force on one route. */
export interface Stratum<Sample> {
  readonly canary: Sample;
  readonly baseline: Sample;
}

/**
 * Statistical test of a canary. Both methods return a score over all strata: 1 or more is
 * a finding, more than 0 a suspicion, and 0 or less speaks for the version.
 */
export interface CanaryTest {
  readonly name: string;
  /** Compares shares of hits; more than `maxCount` trials count as `maxCount`. */
  compareShares(
    strata: readonly Stratum<ShareSample>[],
    hypotheses: ExcessHypotheses,
    maxCount: number,
  ): number;
  /** Compares means; more than `maxCount` samples count as `maxCount`. */
  compareMeans(
    strata: readonly Stratum<MeanSample>[],
    hypotheses: ExcessHypotheses,
    maxCount: number,
  ): number;
}

/**
 * Probability with which one test may find a good version bad. An order has some fifteen
 * tests (measures by routes), which stay under 1 in 50 together.
 */
const FALSE_ALARM_PROBABILITY = 1e-4;
const FINDING_RATIO = Math.log(1 / FALSE_ALARM_PROBABILITY);
/** The same probability, one-sided, in standard errors. */
const FINDING_SCORE = 3.72;
/** Standard errors that are a suspicion: one in ten good versions has them by chance. */
const SUSPICION_SCORE = 1.28;

/**
 * The test that is used: Wald's sequential probability ratio test. Its error rates hold
 * however often it is evaluated, and a finding needs the fewest responses on average among
 * tests with the same error rates.
 */
export const SEQUENTIAL_TEST: CanaryTest = {
  name: "sequential probability ratio",
  compareShares: (strata, hypotheses, maxCount) =>
    limit(strata, ({ trials }) => trials, maxCount) * sum(
      strata.map(({ baseline, canary }) =>
        computeShareRatio(canary, baseline, hypotheses)
      ),
    ) / FINDING_RATIO,
  compareMeans: (strata, hypotheses, maxCount) =>
    limit(strata, ({ count }) => count, maxCount) * sum(
      strata.map(({ baseline, canary }) =>
        computeMeanRatio(canary, baseline, hypotheses)
      ),
    ) / FINDING_RATIO,
};

/** Repeated z-tests, for comparison: each look may find a good version bad once more. */
export const REPEATED_TEST: CanaryTest = {
  name: "repeated z",
  compareShares: (strata, { good }) =>
    combineScores(
      strata,
      ({ trials }) => trials,
      ({ baseline, canary }) => computeShareScore(canary, baseline, good),
    ),
  compareMeans: (strata, { good }) =>
    combineScores(
      strata,
      ({ count }) => count,
      ({ baseline, canary }) => computeMeanScore(canary, baseline, good),
    ),
};

/** Returns the factor by which the evidence of all strata together is limited. */
function limit<Sample>(
  strata: readonly Stratum<Sample>[],
  countOf: (sample: Sample) => number,
  maxCount: number,
): number {
  const count = sum(strata.map(({ canary }) => countOf(canary)));
  return count > maxCount ? maxCount / count : 1;
}

/** Combines the scores of strata by Stouffer's method, weighted by their samples. */
function combineScores<Sample>(
  strata: readonly Stratum<Sample>[],
  countOf: (sample: Sample) => number,
  computeScore: (stratum: Stratum<Sample>) => number,
): number {
  const counts = strata.map(({ canary }) => countOf(canary));
  const total = sum(counts);
  if (total === 0) return 0;
  const weighted = strata.map((stratum, at) =>
    computeScore(stratum) * Math.sqrt(counts[at]! / total)
  );
  return (sum(weighted) - SUSPICION_SCORE) / (FINDING_SCORE - SUSPICION_SCORE);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
