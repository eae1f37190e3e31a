import * as hdr from "hdr-histogram-js";

/** Result of one call of a load run. */
export interface LoadCall {
  readonly mix: string;
  readonly atMs: number;
  /** Result code; 0 for no error, -1 for a refused connection, -2 for a broken one. */
  readonly code: number;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly tokens: number;
  /** Times between consecutive tokens, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly isWhole: boolean;
  readonly isInTime: boolean;
  /** Region that served the call, if not the region of the entry. */
  readonly remoteRegion: string | undefined;
  /** Whether the scenario disconnected the caller on purpose. */
  readonly isDisconnected: boolean;
}

/** Quantiles of durations, in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly p999: number;
}

/** Summary of a load run. */
export interface LoadReport {
  readonly calls: number;
  readonly seconds: number;
  readonly goodput: number;
  readonly firstToken: Quantiles;
  readonly total: Quantiles;
  readonly betweenTokens: Quantiles;
  readonly refusals: Readonly<Record<string, number>>;
  /** Share of the whole answers that came from a region other than the entry's. */
  readonly awayShare: number;
  /** Calls with neither a whole answer nor an error code that were not disconnected on purpose. */
  readonly notWhole: number;
  /** Repeated runs of non-idempotent calls; `undefined` if no stand-in was queried. */
  readonly ranTwice: number | undefined;
  /** Sum of busy engine seconds times price; `undefined` if no stand-in was queried. */
  readonly cost: number | undefined;
  readonly cacheHitShare: number | undefined;
  /** For each second: calls, whole answers, and p95 of the time to the first token in milliseconds. */
  readonly series: readonly (readonly [
    second: number,
    calls: number,
    whole: number,
    firstTokenP95: number,
  ])[];
}

/** Figures that stand-ins report after a run. */
export interface StandinFacts {
  readonly ranTwice?: number;
  readonly cost?: number;
  readonly cacheHitShare?: number;
}

/**
 * Summarizes a load run. Total times count from the planned start of each call, so
 * that delays are not omitted while the system is slow.
 *
 * @param calls All calls.
 * @param seconds Duration of the run.
 * @param facts Figures from the stand-ins. Default: none.
 */
export function createLoadReport(
  calls: readonly LoadCall[],
  seconds: number,
  facts: StandinFacts = {},
): LoadReport {
  const whole = calls.filter(({ isWhole }) => isWhole);
  const refusals: Record<string, number> = {};
  calls.filter(({ code }) => code !== 0).forEach(({ code }) => {
    refusals[code] = (refusals[code] ?? 0) + 1;
  });
  const firstTokens = whole.flatMap(({ firstTokenMs }) => firstTokenMs ?? []);
  const remoteCount =
    whole.filter(({ remoteRegion }) => remoteRegion !== undefined).length;
  return {
    calls: calls.length,
    seconds,
    goodput: whole.filter(({ isInTime }) => isInTime).length / seconds,
    firstToken: readQuantiles(firstTokens),
    total: readQuantiles(whole.map(({ totalMs }) => totalMs)),
    betweenTokens: readQuantiles(whole.flatMap(({ gapsMs }) => gapsMs)),
    refusals,
    awayShare: whole.length === 0 ? 0 : remoteCount / whole.length,
    notWhole:
      calls.filter(({ code, isWhole, isDisconnected }) =>
        code === 0 && !isWhole && !isDisconnected
      ).length,
    ranTwice: facts.ranTwice,
    cost: facts.cost,
    cacheHitShare: facts.cacheHitShare,
    series: Array.from({ length: Math.ceil(seconds) }, (_, second) => {
      const callsInSecond = calls.filter(({ atMs }) =>
        Math.floor(atMs / 1_000) === second
      );
      const wholeInSecond = callsInSecond.filter(({ isWhole }) => isWhole);
      const { p95 } = readQuantiles(
        wholeInSecond.flatMap(({ firstTokenMs }) => firstTokenMs ?? []),
      );
      return [second, callsInSecond.length, wholeInSecond.length, p95] as const;
    }),
  };
}

function readQuantiles(valuesMs: readonly number[]): Quantiles {
  const histogram = hdr.build({
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });
  valuesMs.forEach((valueMs) =>
    histogram.recordValue(Math.max(1, Math.round(valueMs * 1_000)))
  );
  const read = (share: number) =>
    valuesMs.length === 0 ? 0 : histogram.getValueAtPercentile(share) / 1_000;
  return { p50: read(50), p95: read(95), p99: read(99), p999: read(99.9) };
}
