import type { PromiseName, Violation } from "./check_promises.ts";
import {
  type Observation,
  type ObservedCall,
  WORK_KINDS,
} from "./observation.ts";
import { wasPaused } from "./was_paused.ts";

/** What calls that crash servers have in common. */
interface CrashingKind {
  readonly promise: PromiseName;
  readonly hasCrashingPart: boolean;
  /** Servers that the calls may crash before each instance has to quarantine them. */
  readonly crashedServers: number;
}

const CRASHING_KINDS: readonly CrashingKind[] = [
  {
    promise: "calls that crash servers are quarantined",
    hasCrashingPart: false,
    crashedServers: 3,
  },
  {
    promise: "prompt parts that crash servers are quarantined",
    hasCrashingPart: true,
    crashedServers: 5,
  },
];
/** Time after which each instance has to quarantine the calls, in milliseconds: the users' requirement. */
const QUARANTINE_DELAY_MS = 5_000;
/** Runs that are allowed after that time: the users' requirement. */
const MAX_LATE_RUNS = 3;
/** Servers whose crashes are waited for before the other calls are looked at: the users' requirement. */
const COUNTED_SERVERS = 5;
/** Time after the crashes from which other calls have to be served, in milliseconds: the users' requirement. */
const SERVICE_DELAY_MS = 10_000;
/** Share of the other calls that may be refused as quarantined: the users' requirement. */
const MAX_REFUSED_SHARE = 0.5;
/** Minimum number of other calls of which the share is taken: the users' requirement. */
const MIN_CALLS = 20;

/** Finds runs of calls that are equal, or share a prompt part, and had crashed servers long before. */
export function checkQuarantine(
  observation: Observation,
): readonly Violation[] {
  return CRASHING_KINDS.flatMap((kind) => checkKind(observation, kind));
}

function checkKind(
  { calls, pauses, runs }: Observation,
  { crashedServers, hasCrashingPart, promise }: CrashingKind,
): readonly Violation[] {
  const crashing = runs.filter((run) =>
    run.crashesServer && run.hasCrashingPart === hasCrashingPart
  );
  const servers = [...new Set(crashing.map(({ server }) => server))];
  const threshold = crashing.find(({ server }) =>
    server === servers[crashedServers - 1]
  );
  if (threshold === undefined) return [];
  const instanceByCall = new Map(
    calls.map(({ callId, instance }) => [callId, instance]),
  );
  // An instance that has just started or resumed has the same time to learn of the crashes.
  const late = crashing.filter(({ atMs, callId }) =>
    atMs > threshold.atMs + QUARANTINE_DELAY_MS &&
    !wasPaused(pauses, instanceByCall.get(callId), {
      fromMs: atMs - QUARANTINE_DELAY_MS,
      toMs: atMs,
    })
  );
  return late.length <= MAX_LATE_RUNS ? [] : [{
    promise,
    detail:
      `${late.length} runs after ${crashedServers} servers had crashed, ${servers.length} in all`,
  }];
}

/** Finds out whether calls are refused that only share other prompt parts with crashing calls. */
export function checkSharedParts(
  { calls, runs }: Observation,
): readonly Violation[] {
  const crashing = runs.filter(({ hasCrashingPart }) => hasCrashingPart);
  const servers = [...new Set(crashing.map(({ server }) => server))];
  const last = servers.slice(0, COUNTED_SERVERS).at(-1);
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
