import type { Violation } from "./check_promises.ts";
import {
  type InstancePause,
  type Observation,
  type ObservedCall,
  WORK_KINDS,
} from "./observation.ts";

/** Servers that calls with one prompt part may crash before each instance has to quarantine it. */
const CRASHED_SERVERS = 5;
/** Time after which each instance has to quarantine the part, in milliseconds: the users' requirement. */
const QUARANTINE_DELAY_MS = 5_000;
/** Runs that are allowed after that time: the users' requirement. */
const MAX_LATE_RUNS = 3;
/** Time after the crashes from which other calls have to be served, in milliseconds: the users' requirement. */
const SERVICE_DELAY_MS = 10_000;
/** Share of the other calls that may be refused as quarantined: the users' requirement. */
const MAX_REFUSED_SHARE = 0.5;
/** Minimum number of other calls of which the share is taken: the users' requirement. */
const MIN_CALLS = 20;

/** Finds runs of calls with a prompt part that had crashed servers long before. */
export function checkCrashingPart(
  { calls, pauses, runs }: Observation,
): readonly Violation[] {
  const crashing = runs.filter(({ hasCrashingPart }) => hasCrashingPart);
  const servers = [...new Set(crashing.map(({ server }) => server))];
  const fifth = crashing.find(({ server }) =>
    server === servers[CRASHED_SERVERS - 1]
  );
  if (fifth === undefined) return [];
  const instanceByCall = new Map(
    calls.map(({ callId, instance }) => [callId, instance]),
  );
  // An instance that has just started or resumed has the same time to learn of the crashes.
  const late = crashing.filter(({ atMs, callId }) =>
    atMs > fifth.atMs + QUARANTINE_DELAY_MS &&
    !wasPaused(pauses, instanceByCall.get(callId), {
      fromMs: atMs - QUARANTINE_DELAY_MS,
      toMs: atMs,
    })
  );
  return late.length <= MAX_LATE_RUNS ? [] : [{
    promise: "prompt parts that crash servers are quarantined",
    detail:
      `${late.length} runs after ${CRASHED_SERVERS} servers had crashed, ${servers.length} in all`,
  }];
}

/** Finds out whether calls are refused that only share other prompt parts with crashing calls. */
export function checkSharedParts(
  { calls, runs }: Observation,
): readonly Violation[] {
  const crashing = runs.filter(({ hasCrashingPart }) => hasCrashingPart);
  const servers = [...new Set(crashing.map(({ server }) => server))];
  const last = servers.slice(0, CRASHED_SERVERS).at(-1);
  const lastRun = crashing.find(({ server }) => server === last);
  const untilMs = Math.max(
    ...calls.filter(({ kind }) => kind === "ending-part")
      .map(({ sentMs }) => sentMs),
  );
  if (lastRun === undefined) return [];
  const sound = calls.filter(({ kind, sentMs }) =>
    WORK_KINDS.includes(kind) && sentMs < untilMs &&
    sentMs > lastRun.atMs + SERVICE_DELAY_MS
  );
  const refused = sound.filter(isQuarantined);
  const isBroken = sound.length >= MIN_CALLS &&
    refused.length > MAX_REFUSED_SHARE * sound.length;
  return isBroken
    ? [{
      promise: "calls that share other prompt parts are served",
      detail: `${refused.length} of ${sound.length} refused as quarantined`,
    }]
    : [];
}

function isQuarantined({ end }: ObservedCall): boolean {
  return end.kind === "answered" && end.status === 503 &&
    end.body.includes('"quarantined"');
}

function wasPaused(
  pauses: readonly InstancePause[],
  instance: string | undefined,
  { fromMs, toMs }: Pick<InstancePause, "fromMs" | "toMs">,
): boolean {
  return pauses.some((pause) =>
    pause.instance === instance && pause.fromMs < toMs && pause.toMs > fromMs
  );
}
