import type { EvidenceRow, LogSums, ResponseOutcome } from "./rollout_types.ts";

const NO_SUMS: LogSums = { count: 0, sum: 0, squares: 0, slow: 0 };
/** A duration this many times the usual one counts as slow: bad versions are several times slower. */
const SLOW_FACTOR = 2.5;
/** Responses of the versions in force on a route from which their mean tells what is slow. */
const MIN_BASELINE = 10;
/** Shortest duration that is told apart from others: shorter ones are noise of the clock. */
const MIN_DURATION_MS = 1;

/** Mean durations of the versions in force on one route, as logarithms. */
export interface RouteBaseline {
  readonly firstByte: LogSums;
  readonly gap: LogSums;
}

/** Returns a row without responses. */
export function createRow(
  route: string,
  subject: EvidenceRow["subject"],
): EvidenceRow {
  return {
    route,
    subject,
    responses: 0,
    failures: 0,
    firstByte: NO_SUMS,
    gap: NO_SUMS,
  };
}

/** Returns a row with one more response. */
export function addOutcome(
  row: EvidenceRow,
  outcome: ResponseOutcome,
  baseline: RouteBaseline | undefined,
  isCold: boolean,
): EvidenceRow {
  const responses = row.responses + 1;
  if (outcome.kind === "failed") {
    return { ...row, responses, failures: row.failures + 1 };
  }
  const { firstByteMs, longestGapMs } = outcome;
  return {
    ...row,
    responses,
    // A cold server is slow whatever its version is.
    firstByte: isCold
      ? row.firstByte
      : addDuration(row.firstByte, firstByteMs, baseline?.firstByte),
    gap: isCold || longestGapMs === undefined
      ? row.gap
      : addDuration(row.gap, longestGapMs, baseline?.gap),
  };
}

function addDuration(
  { count, slow, squares, sum }: LogSums,
  durationMs: number,
  baseline: LogSums | undefined,
): LogSums {
  const log = Math.log(Math.max(MIN_DURATION_MS, durationMs));
  const isSlow = baseline !== undefined && baseline.count >= MIN_BASELINE &&
    log > baseline.sum / baseline.count + Math.log(SLOW_FACTOR);
  return {
    count: count + 1,
    sum: sum + log,
    squares: squares + log * log,
    slow: slow + Number(isSlow),
  };
}

/** Returns the sum of two rows; route and subject are those of the first. */
export function addRows(a: EvidenceRow, b: EvidenceRow): EvidenceRow {
  return {
    ...a,
    responses: a.responses + b.responses,
    failures: a.failures + b.failures,
    firstByte: addSums(a.firstByte, b.firstByte),
    gap: addSums(a.gap, b.gap),
  };
}

function addSums(a: LogSums, b: LogSums): LogSums {
  return {
    count: a.count + b.count,
    sum: a.sum + b.sum,
    squares: a.squares + b.squares,
    slow: a.slow + b.slow,
  };
}

interface MutableSums {
  count: number;
  sum: number;
  squares: number;
  slow: number;
}

/**
 * Returns the sums of rows by route and subject. Rows are added in place: instances sum the
 * rows of all others many times a second while an order runs.
 */
export function sumRows(rows: Iterable<EvidenceRow>): readonly EvidenceRow[] {
  const sums = new Map<
    string,
    {
      readonly route: string;
      readonly subject: EvidenceRow["subject"];
      responses: number;
      failures: number;
      readonly firstByte: MutableSums;
      readonly gap: MutableSums;
    }
  >();
  for (const row of rows) {
    const key = toRowKey(row);
    const known = sums.get(key);
    if (known === undefined) {
      const firstByte = { ...row.firstByte };
      sums.set(key, { ...row, firstByte, gap: { ...row.gap } });
      continue;
    }
    known.responses += row.responses;
    known.failures += row.failures;
    increase(known.firstByte, row.firstByte);
    increase(known.gap, row.gap);
  }
  return [...sums.values()];
}

function increase(
  sums: MutableSums,
  { count, slow, squares, sum }: LogSums,
): void {
  sums.count += count;
  sums.sum += sum;
  sums.squares += squares;
  sums.slow += slow;
}

/** Returns a key that is the same for rows of the same route and subject. */
export function toRowKey({ route, subject }: EvidenceRow): string {
  return `${route}\u0000${subject}`;
}
