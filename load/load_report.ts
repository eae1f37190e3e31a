import * as hdr from "hdr-histogram-js";

/** How one call of a load run ended. */
export interface LoadCall {
  readonly mix: string;
  readonly atMs: number;
  /** Number of the result code; 0 for a whole answer, -1 for no connection, -2 for one that broke. */
  readonly code: number;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly tokens: number;
  /** Times between tokens, in milliseconds. */
  readonly gapsMs: readonly number[];
  readonly isWhole: boolean;
  readonly isInTime: boolean;
  /** Region that served it, if it was not the entry's. */
  readonly awayRegion: string | undefined;
  /** Whether the caller ended it on purpose. */
  readonly isDisconnected: boolean;
}

/** Quantiles in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly p999: number;
}

/** The result of a load run. */
export interface LoadReport {
  readonly calls: number;
  readonly seconds: number;
  readonly goodput: number;
  readonly firstToken: Quantiles;
  readonly total: Quantiles;
  readonly betweenTokens: Quantiles;
  readonly refusals: Readonly<Record<string, number>>;
  readonly awayShare: number;
  /** Calls that ended neither whole nor with a numbered error. */
  readonly notWhole: number;
  /** Non-idempotent keys that ran more than once; `undefined` if no stand-in was asked. */
  readonly ranTwice: number | undefined;
  /** Engine seconds times price; `undefined` if no stand-in was asked. */
  readonly cost: number | undefined;
  readonly cacheHitShare: number | undefined;
  /** For each second: calls, whole answers, first token p95. */
  readonly series: readonly (readonly [
    second: number,
    calls: number,
    whole: number,
    firstTokenP95: number,
  ])[];
}

/** What stand-ins report after a run. */
export interface StandinFacts {
  readonly ranTwice?: number;
  readonly cost?: number;
  readonly cacheHitShare?: number;
}

/**
 * Sums up a load run. Latencies count from the planned start of each call, so
 * that nothing is omitted while the system is slow.
 *
 * @param calls All calls.
 * @param seconds Length of the run.
 * @param facts What the stand-ins report. Default: nothing.
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
  const away =
    whole.filter(({ awayRegion }) => awayRegion !== undefined).length;
  return {
    calls: calls.length,
    seconds,
    goodput: whole.filter(({ isInTime }) => isInTime).length / seconds,
    firstToken: readQuantiles(firstTokens),
    total: readQuantiles(whole.map(({ totalMs }) => totalMs)),
    betweenTokens: readQuantiles(whole.flatMap(({ gapsMs }) => gapsMs)),
    refusals,
    awayShare: whole.length === 0 ? 0 : away / whole.length,
    notWhole:
      calls.filter(({ code, isWhole, isDisconnected }) =>
        code === 0 && !isWhole && !isDisconnected
      ).length,
    ranTwice: facts.ranTwice,
    cost: facts.cost,
    cacheHitShare: facts.cacheHitShare,
    series: Array.from({ length: Math.ceil(seconds) }, (_, second) => {
      const inside = calls.filter(({ atMs }) =>
        Math.floor(atMs / 1_000) === second
      );
      const answered = inside.filter(({ isWhole }) => isWhole);
      const { p95 } = readQuantiles(
        answered.flatMap(({ firstTokenMs }) => firstTokenMs ?? []),
      );
      return [second, inside.length, answered.length, p95] as const;
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
