/** A span of time, in milliseconds. */
export interface IdleSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Shortest span that counts, in milliseconds: sound servers run many calls in it. */
const MIN_IDLE_MS = 500;

/**
 * Returns the spans between two runs in which no server ran a call of any caller.
 *
 * @param timesMs When servers began to run calls, in milliseconds.
 */
export function listIdleSpans(
  timesMs: readonly number[],
): readonly IdleSpan[] {
  const sorted = timesMs.toSorted((a, b) => a - b);
  return sorted.slice(1)
    .map((toMs, at) => ({ fromMs: sorted[at]!, toMs }))
    .filter(({ fromMs, toMs }) => toMs - fromMs >= MIN_IDLE_MS);
}
