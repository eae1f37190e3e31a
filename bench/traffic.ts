import * as hdr from "hdr-histogram-js";
import type { Random } from "../clock/mod.ts";
import type { Priority } from "../admission/mod.ts";
import type { Reply } from "../filters/mod.ts";
import type { FakeDaemon, FakeFleet } from "../standin/mod.ts";

/** One call of a run. */
export interface Arrival {
  readonly atMs: number;
  /** Daemon that the caller uses. */
  readonly daemon: number;
  readonly team: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prefix that it shares with others. Default: none. */
  readonly prefix?: string;
  readonly deadlineMs: number;
  readonly model: string;
}

/** How one call ended. */
export interface CallResult {
  readonly arrival: Arrival;
  /** Number of the result code; 0 for a whole answer. */
  readonly code: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly tokens: number;
  readonly isWhole: boolean;
  readonly isAway: boolean;
}

/** What makes up a stream of arrivals. */
export interface TrafficPlan {
  readonly random: Random;
  /** Calls per second at a time, for a daemon. */
  readonly rateAt: (atMs: number, daemon: number) => number;
  /** Highest value of `rateAt`. */
  readonly peakRate: number;
  readonly daemons: number;
  readonly durationMs: number;
  readonly create: (atMs: number, daemon: number) => Arrival;
}

/**
 * Returns Poisson arrivals with a rate that changes over time, by thinning.
 *
 * @param plan Rates and what a call is made of.
 */
export function createArrivals(plan: TrafficPlan): readonly Arrival[] {
  const arrivals = Array.from({ length: plan.daemons }, (_, daemon) => {
    const own: Arrival[] = [];
    let atMs = 0;
    while (true) {
      atMs += (-Math.log(1 - plan.random.nextFloat()) / plan.peakRate) * 1_000;
      if (atMs >= plan.durationMs) return own;
      const isKept =
        plan.random.nextFloat() < plan.rateAt(atMs, daemon) / plan.peakRate;
      if (isKept) own.push(plan.create(atMs, daemon));
    }
  });
  return arrivals.flat().sort((a, b) => a.atMs - b.atMs);
}

/** Returns Poisson arrivals at one rate, spread evenly over the daemons. */
export function createSteadyArrivals(
  plan: Omit<TrafficPlan, "rateAt" | "peakRate"> & {
    /** Calls per second over all daemons. */
    readonly rate: number;
  },
): readonly Arrival[] {
  const each = plan.rate / plan.daemons;
  return createArrivals({ ...plan, rateAt: () => each, peakRate: each });
}

/**
 * Runs arrivals against a fleet, open loop: a call starts at its time, however
 * the earlier ones fare. Time is counted from the planned start, so that
 * nothing is omitted.
 *
 * @param fleet The fleet.
 * @param arrivals In order of time.
 * @param drainMs How long to wait for answers after the last arrival.
 */
export async function runTraffic(
  fleet: FakeFleet,
  arrivals: readonly Arrival[],
  drainMs = 60_000,
): Promise<readonly CallResult[]> {
  const results: CallResult[] = [];
  const startMs = fleet.clock.nowMs();
  arrivals.forEach((arrival) =>
    fleet.clock.schedule(arrival.atMs, () => {
      const daemon = fleet.daemons[arrival.daemon]!;
      void makeCall(fleet, daemon, arrival).then((result) =>
        results.push(result)
      );
    })
  );
  const lastMs = arrivals.at(-1)?.atMs ?? 0;
  await fleet.clock.advance(startMs + lastMs - fleet.clock.nowMs());
  for (
    let waitedMs = 0;
    waitedMs < drainMs && results.length < arrivals.length;
  ) {
    await fleet.clock.advance(1_000);
    waitedMs += 1_000;
  }
  return results;
}

async function makeCall(
  fleet: FakeFleet,
  daemon: FakeDaemon,
  arrival: Arrival,
): Promise<CallResult> {
  const startMs = fleet.clock.nowMs();
  const start = arrival.prefix ?? `${startMs} ${arrival.daemon}`;
  const reply = await fleet.call(daemon, {
    token: arrival.team,
    path: "/v1/completions",
    headers: {
      "x-priority": arrival.priority,
      "x-deadline-ms": String(arrival.deadlineMs),
      ...(arrival.prefix === undefined ? {} : { "x-session": arrival.prefix }),
    },
    body: {
      model: arrival.model,
      prompt: start.padEnd(Math.max(1, arrival.promptTokens * 4 - 220), "x"),
      stream: true,
      max_tokens: arrival.outputTokens,
      prompt_tokens: arrival.promptTokens,
      ...(arrival.prefix === undefined ? {} : {
        prefix: arrival.prefix,
        prefix_tokens: Math.floor(arrival.promptTokens * 0.8),
      }),
    },
  });
  return await readReply(fleet, reply, { arrival, startMs });
}

async function readReply(
  fleet: FakeFleet,
  reply: Reply,
  call: { readonly arrival: Arrival; readonly startMs: number },
): Promise<CallResult> {
  const { arrival, startMs } = call;
  if (reply.kind === "whole") {
    const totalMs = fleet.clock.nowMs() - startMs;
    const code = Number(reply.headers["x-result-code"] ?? "0");
    return {
      arrival,
      code,
      firstTokenMs: totalMs,
      totalMs,
      tokens: 0,
      isWhole: code === 0,
      isAway: false,
    };
  }
  let firstTokenMs = 0;
  let tokens = 0;
  let isWhole = false;
  let code = 1402;
  for await (const { data } of reply.events) {
    if (data === "[DONE]") isWhole = true;
    else if (data.startsWith('{"error"')) {
      code = Number(/"code":(\d+)/.exec(data)?.[1]);
    } else {
      if (tokens === 0) firstTokenMs = fleet.clock.nowMs() - startMs;
      tokens++;
    }
  }
  return {
    arrival,
    code: isWhole ? 0 : code,
    firstTokenMs,
    totalMs: fleet.clock.nowMs() - startMs,
    tokens,
    isWhole: isWhole && tokens === arrival.outputTokens,
    isAway: reply.headers["x-forwarded-region"] !== undefined,
  };
}

/** Figures of one run. */
export interface TrafficSummary {
  readonly calls: number;
  readonly answered: number;
  /** Whole answers inside the deadline, per second of the run. */
  readonly goodput: number;
  readonly firstTokenP50: number;
  readonly firstTokenP95: number;
  readonly firstTokenP99: number;
  readonly firstTokenMean: number;
  readonly awayShare: number;
  readonly refusedShare: number;
  /** Answers that are neither whole nor refused. */
  readonly brokenShare: number;
  readonly codes: Readonly<Record<string, number>>;
}

/**
 * Sums up results.
 *
 * @param results All of them, or those of one class.
 * @param durationMs Length of the run.
 */
export function summarizeTraffic(
  results: readonly CallResult[],
  durationMs: number,
): TrafficSummary {
  const histogram = hdr.build({
    highestTrackableValue: 3_600_000,
    numberOfSignificantValueDigits: 3,
  });
  const whole = results.filter(({ isWhole }) => isWhole);
  whole.forEach(({ firstTokenMs }) =>
    histogram.recordValue(Math.max(1, Math.round(firstTokenMs)))
  );
  const codes: Record<string, number> = {};
  results.filter(({ code }) => code !== 0).forEach(({ code }) => {
    codes[code] = (codes[code] ?? 0) + 1;
  });
  const refused =
    results.filter(({ code }) => code >= 1_200 && code < 1_300).length;
  const inTime =
    whole.filter(({ arrival, totalMs }) => totalMs <= arrival.deadlineMs)
      .length;
  const share = (count: number) =>
    results.length === 0 ? 0 : count / results.length;
  return {
    calls: results.length,
    answered: whole.length,
    goodput: inTime / (durationMs / 1_000),
    firstTokenP50: histogram.getValueAtPercentile(50),
    firstTokenP95: histogram.getValueAtPercentile(95),
    firstTokenP99: histogram.getValueAtPercentile(99),
    firstTokenMean: histogram.mean,
    awayShare: share(results.filter(({ isAway }) => isAway).length),
    refusedShare: share(refused),
    brokenShare: share(results.length - whole.length - refused),
    codes,
  };
}
