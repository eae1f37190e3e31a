import { checkQuarantine, checkSharedParts } from "./check_quarantine.ts";
import { checkRollouts } from "./check_rollouts.ts";
import { checkSilences } from "./check_silences.ts";
import { listIdleSpans } from "./idle_spans.ts";
import { wasPaused } from "./was_paused.ts";
import {
  createRecordedBody,
  createRecordedEvents,
} from "../standin/recording_server.ts";
import { RESUMED_AFTER, ROTATING_TEAM, STEADY_TEAM } from "./caller.ts";
import {
  type CallKind,
  isServed,
  KEY_KINDS,
  type Observation,
  type ObservedCall,
  STREAM_KINDS,
  WORK_KINDS,
} from "./observation.ts";

/** A promise that was broken. */
export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Names of the promises, as docs/SOAK.md lists them. */
export type PromiseName =
  | "instances run until they are stopped"
  | "instances become ready"
  | "whole answers"
  | "at most once"
  | "calls refused as not run did not run"
  | "no new calls at departed servers"
  | "configuration never reverts"
  | "directory lists no dead instance"
  | "directory keeps bound calls in their home regions"
  | "a graceful shutdown interrupts no call"
  | "calls of disconnected callers do not run"
  | "calls that crash servers are quarantined"
  | "prompt parts that crash servers are quarantined"
  | "calls that share other prompt parts are served"
  | "advertised states of servers are respected"
  | "advertised limits of servers are respected"
  | "servers do not fail because of rejections"
  | "callers of cut-off instances are served"
  | "calls run for the team that holds their key"
  | "versions without an order get no calls"
  | "bad versions get at most their exposure"
  | "bad versions are rolled back in time"
  | "the end of a rollout is final"
  | "a completed rollout interrupts no call"
  | "streams are of one version"
  | "silence of a sound server ends no call"
  | "service after the faults"
  | "no growth";

/** Statuses that promise that the call did not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Kinds of calls that must run at most once. */
const RUN_ONCE_KINDS: readonly CallKind[] = ["non-idempotent", "single-stream"];
/**
 * Time after which a server that drains or lost its entry must get no new calls, in
 * milliseconds: the users' requirement of 3 s, doubled for a machine that does other work too.
 */
const DEPARTURE_DELAY_MS = 6_000;
/**
 * Time after which the directory must not list a dead instance, in milliseconds: the users'
 * requirement of 8 s, and 4 s more.
 */
const DIRECTORY_DELAY_MS = 12_000;
/**
 * Time after which the call of a disconnected caller must not start to run, in milliseconds:
 * the users' requirement.
 */
const ABANDONED_DELAY_MS = 500;
/**
 * Time after which an instance has to respect what a server advertises, in milliseconds: the
 * users' requirement.
 */
const ADVERTISEMENT_DELAY_MS = 500;
/**
 * Calls that a server may get after that time from all instances together. Some instances
 * learn late what the server advertises, and each of them has a limited number of
 * concurrent callers.
 */
const MAX_LATE_CALLS = 24;
/**
 * Window in which the calls of a server with an advertised limit are counted, in milliseconds:
 * the users' requirement.
 */
const LIMIT_WINDOW_MS = 4_000;
/** Factor on the calls that the limit allows in the window: the users' requirement. */
const LIMIT_OVERSHOOT = 1.5;
/** Calls that are allowed in the window in addition: the users' requirement. */
const LIMIT_SLACK_CALLS = 5;
/**
 * Time after which no call with a revoked key may run, in milliseconds: the users'
 * requirement of 5 s, and as much again for a store that is unavailable during a fault.
 */
const REVOCATION_DELAY_MS = 10_000;
/**
 * Time after which the callers of instances without links to servers must be served, in
 * milliseconds: the users' requirement.
 */
const CUT_OFF_DELAY_MS = 5_000;
/** First tries that may fail at such instances: this many and this share of all first tries. */
const CUT_OFF_ALLOWANCE = { calls: 10, share: 1 / 50 } as const;
/** Minimum share of first tries served there, against that at other instances. */
const MIN_CUT_OFF_RATIO = 2 / 3;
/** Failures of one server because of rejections that are allowed: the users' requirement. */
const ALLOWED_FAILURES = 2;
/** Share of the calls after the faults that must be served. */
const MIN_SERVED_SHARE = 0.95;
/** Memory that one process may use, in MB: 1.5 times the usage in runs with 6 instances. */
const MAX_MEMORY_MB = 200;
/**
 * File descriptors that one process may have open: 1.5 times the usage in runs with 6
 * instances.
 */
const MAX_DESCRIPTORS = 1_000;

/** Returns the promises that were broken in a run. */
export function checkPromises(observation: Observation): readonly Violation[] {
  return [
    ...checkAnswers(observation),
    ...checkAtMostOnce(observation),
    ...checkNotRun(observation),
    ...checkDepartures(observation),
    ...checkVersions(observation),
    ...checkDirectories(observation),
    ...checkBoundCalls(observation),
    ...checkStops(observation),
    ...checkAbandonedCalls(observation),
    ...checkQuarantine(observation),
    ...checkSharedParts(observation),
    ...checkAdvertisements(observation),
    ...checkLimits(observation),
    ...checkRejections(observation),
    ...checkCutOffs(observation),
    ...checkKeys(observation),
    ...checkRollouts(observation),
    ...checkSilences(observation),
    ...checkService(observation),
    ...checkProcesses(observation),
  ];
}

function formatCall(call: ObservedCall): string {
  const end = call.end.kind === "answered" ? call.end.status : call.end.kind;
  return `${call.kind} call ${call.callId} at ${call.instance}: ${end}`;
}

function checkAnswers({ calls, runs }: Observation): readonly Violation[] {
  const cutCalls = new Set(
    runs.filter(({ cutsAnswer }) => cutsAnswer).map(({ callId }) => callId),
  );
  // An answer has a mark of its end unless its server told none.
  const hasMark = ({ callId, end }: ObservedCall) =>
    end.kind !== "answered" || !end.mayBeCut || cutCalls.has(callId);
  const isKept = (call: ObservedCall) => isIntact(call) && hasMark(call);
  return calls.filter((call) => !isKept(call)).map((call) => ({
    promise: "whole answers",
    detail: formatCall(call),
  }));
}

function isIntact({ callId, end, kind }: ObservedCall): boolean {
  if (end.kind !== "answered" && end.kind !== "broken") return true;
  const afterEvent = kind === "resumed-stream" ? RESUMED_AFTER : 0;
  const isStream = kind === "stream" || STREAM_KINDS.includes(kind);
  if (end.kind === "broken") return !isStream || isPrefix(end.body);
  if (end.status !== 200) return true;
  if (!end.isSigned) return false;
  // Without a mark of its end, an answer does not look complete.
  if (end.mayBeCut) return isPrefix(end.body);
  return end.body === createWhole(end.body);

  /** Returns whether a body is the beginning of the call's own answer. */
  function isPrefix(body: string): boolean {
    return createWhole(body).startsWith(body);
  }

  /** Returns the whole answer of the service that a body names. */
  function createWhole(body: string): string {
    if (isStream) {
      return createRecordedEvents(callId).slice(afterEvent).join("");
    }
    const service = /"service":"([^"]*)/.exec(body)?.[1] ?? "";
    return createRecordedBody(callId, service);
  }
}

function countRuns({ runs }: Observation): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  runs.forEach(({ callId }) =>
    counts.set(callId, (counts.get(callId) ?? 0) + 1)
  );
  return counts;
}

function checkAtMostOnce(observation: Observation): readonly Violation[] {
  const counts = countRuns(observation);
  return observation.calls.filter(({ callId, kind }) =>
    RUN_ONCE_KINDS.includes(kind) && (counts.get(callId) ?? 0) > 1
  ).map((call) => ({
    promise: "at most once",
    detail: `${formatCall(call)}, ran ${counts.get(call.callId)} times`,
  }));
}

function checkNotRun(observation: Observation): readonly Violation[] {
  const counts = countRuns(observation);
  return observation.calls.filter(({ callId, end, kind }) =>
    RUN_ONCE_KINDS.includes(kind) && end.kind === "answered" &&
    NOT_RUN.has(end.status) && counts.has(callId)
  ).map((call) => ({
    promise: "calls refused as not run did not run",
    detail: formatCall(call),
  }));
}

function checkDepartures(
  { disturbedSpans, runs, serverDepartures }: Observation,
): readonly Violation[] {
  return serverDepartures.flatMap(({ id, atMs, untilMs }) => {
    const dueMs = atMs + DEPARTURE_DELAY_MS;
    // An instance that was cut off or stalled in this time could not learn of the departure.
    const isExcused = disturbedSpans.some(({ fromMs, toMs }) =>
      fromMs < dueMs && toMs > atMs - DEPARTURE_DELAY_MS
    );
    if (isExcused) return [];
    return runs.filter((run) =>
      run.server === id && run.atMs > dueMs && run.atMs < untilMs
    ).map((run): Violation => ({
      promise: "no new calls at departed servers",
      detail: `${id} ran ${run.callId} ${
        run.atMs - atMs
      } ms after its departure`,
    }));
  });
}

/**
 * Each start of an instance gets these calls one after the other, so that versions must never
 * decrease.
 */
function checkVersions({ calls }: Observation): readonly Violation[] {
  const highest = new Map<string, number>();
  return calls.filter(({ kind }) => kind === "version").flatMap((call) => {
    const version = readVersion(call);
    if (version === undefined) return [];
    const key = `${call.instance} ${call.start}`;
    const before = highest.get(key) ?? 0;
    highest.set(key, Math.max(before, version));
    if (version >= before) return [];
    return [
      {
        promise: "configuration never reverts",
        detail: `${call.instance} applied ${version} after ${before}`,
      } as const,
    ];
  });
}

/**
 * Returns the configuration version of a call, which is part of the name of the service that
 * answered.
 */
function readVersion({ end }: ObservedCall): number | undefined {
  if (end.kind !== "answered" || end.status !== 200) return undefined;
  if (end.mayBeCut) return undefined;
  const { service } = JSON.parse(end.body) as { readonly service: string };
  return Number(service.split("-")[1]);
}

function checkDirectories(
  { directories, instanceDepartures }: Observation,
): readonly Violation[] {
  return instanceDepartures.flatMap(({ id, atMs, untilMs }) =>
    directories.filter((directory) =>
      directory.atMs > atMs + DIRECTORY_DELAY_MS &&
      directory.atMs < untilMs && directory.hosts.includes(id)
    ).map((directory): Violation => ({
      promise: "directory lists no dead instance",
      detail: `${id} is still listed ${
        directory.atMs - atMs
      } ms after its process ended`,
    }))
  );
}

/**
 * Calls bound to home regions go to these or stay in the caller's region, whatever fault is
 * active.
 */
function checkBoundCalls({ directories }: Observation): readonly Violation[] {
  return directories.filter(({ forbiddenHosts }) => forbiddenHosts.length > 0)
    .map(({ forbiddenHosts }): Violation => ({
      promise: "directory keeps bound calls in their home regions",
      detail: `answer lists forbidden hosts: ${forbiddenHosts.join(" ")}`,
    }));
}

function checkStops({ calls, stops }: Observation): readonly Violation[] {
  return stops.filter(({ isUndisturbed }) => isUndisturbed).flatMap((
    { atMs, instance },
  ) =>
    calls.filter((call) =>
      call.instance === instance && call.end.kind === "broken" &&
      call.sentMs <= atMs && call.endedMs >= atMs
    ).map((call): Violation => ({
      promise: "a graceful shutdown interrupts no call",
      detail: formatCall(call),
    }))
  );
}

function checkAbandonedCalls(
  { abandonedCalls, runs }: Observation,
): readonly Violation[] {
  const abandonedMs = new Map(
    abandonedCalls.map((each) => [each.callId, each.abandonedMs]),
  );
  return runs.filter(({ atMs, callId }) =>
    atMs > (abandonedMs.get(callId) ?? Infinity) + ABANDONED_DELAY_MS
  ).map(({ atMs, callId, server }) => ({
    promise: "calls of disconnected callers do not run",
    detail: `${server} ran ${callId} ${
      Math.round(atMs - abandonedMs.get(callId)!)
    } ms after its caller had disconnected`,
  }));
}

function checkAdvertisements(
  { refusals, runs, advertisements }: Observation,
): readonly Violation[] {
  return advertisements.flatMap(({ fromMs, kind, server, toMs }) => {
    if (kind === "limit" || kind === "brittle") return [];
    const calls = (kind === "rest" ? refusals : runs)
      .filter((call) => call.server === server && call.atMs >= fromMs);
    const dueMs = (calls[0]?.atMs ?? toMs) + ADVERTISEMENT_DELAY_MS;
    const late = calls.filter(({ atMs }) => atMs > dueMs && atMs < toMs);
    return late.length <= MAX_LATE_CALLS ? [] : [
      {
        promise: "advertised states of servers are respected",
        detail:
          `${server} received ${late.length} calls after it had advertised its state (${kind})`,
      } as const,
    ];
  });
}

function checkLimits(
  { runs, advertisements }: Observation,
): readonly Violation[] {
  return advertisements.flatMap((advertisement) => {
    if (advertisement.kind !== "limit") return [];
    const { fromMs, perSecond, server, toMs } = advertisement;
    const callTimesMs = runs.filter((run) =>
      run.server === server && run.atMs >= fromMs && run.atMs < toMs
    ).map(({ atMs }) => atMs);
    const dueMs = (callTimesMs[0] ?? toMs) + ADVERTISEMENT_DELAY_MS;
    const counted = callTimesMs.filter((atMs) => atMs > dueMs);
    const maxCalls = Math.max(
      0,
      ...counted.map((first) =>
        counted.filter((atMs) =>
          atMs >= first && atMs < first + LIMIT_WINDOW_MS
        ).length
      ),
    );
    const allowed = LIMIT_OVERSHOOT * perSecond * LIMIT_WINDOW_MS / 1_000 +
      LIMIT_SLACK_CALLS + MAX_LATE_CALLS;
    return maxCalls <= allowed ? [] : [
      {
        promise: "advertised limits of servers are respected",
        detail:
          `${server} received ${maxCalls} calls in 4 s, limit ${perSecond} calls/s`,
      } as const,
    ];
  });
}

function checkRejections(
  { advertisements, rejections }: Observation,
): readonly Violation[] {
  return advertisements.flatMap((advertisement) => {
    if (advertisement.kind !== "brittle") return [];
    const { fromMs, perSecond, server, toMs } = advertisement;
    const timesMs = rejections.filter((each) =>
      each.server === server && each.atMs >= fromMs && each.atMs < toMs
    ).map(({ atMs }) => atMs);
    const failures = countFailures(timesMs, perSecond);
    return failures <= ALLOWED_FAILURES ? [] : [
      {
        promise: "servers do not fail because of rejections",
        detail:
          `${server} rejected ${timesMs.length} calls, more than ${perSecond} a second ${failures} times`,
      } as const,
    ];
  });
}

/** Counts how often a server would fail that starts again after each failure. */
function countFailures(timesMs: readonly number[], perSecond: number): number {
  let failures = 0;
  let recent: readonly number[] = [];
  timesMs.forEach((atMs) => {
    recent = [...recent.filter((ms) => atMs - ms < 1_000), atMs];
    if (recent.length <= perSecond) return;
    failures++;
    recent = [];
  });
  return failures;
}

/** Each call of the soak is a first try: its callers repeat none. */
function checkCutOffs(observation: Observation): readonly Violation[] {
  return observation.cutOffs.flatMap((cutOff) => {
    const tries = listTriesInTouch(observation, cutOff);
    const isCutOff = ({ instance }: ObservedCall) =>
      cutOff.instances.includes(instance);
    const atCutOff = tries.filter(isCutOff);
    const atOthers = tries.filter((call) => !isCutOff(call));
    const failed = atCutOff.filter((call) => !isServed(call)).length;
    const allowed = CUT_OFF_ALLOWANCE.calls +
      CUT_OFF_ALLOWANCE.share * tries.length;
    const isServedAlike = computeServedShare(atCutOff) >=
      MIN_CUT_OFF_RATIO * computeServedShare(atOthers);
    // Without calls at other instances, there is nothing to compare with.
    const isKept = atOthers.length === 0 || failed <= allowed || isServedAlike;
    return isKept ? [] : [
      {
        promise: "callers of cut-off instances are served",
        detail: `${atCutOff.length - failed} of ${atCutOff.length} at ${
          cutOff.instances.join(" ")
        }, ${atOthers.filter(isServed).length} of ${atOthers.length} at others`,
      } as const,
    ];
  });
}

/**
 * Returns the first tries in the time that counts, without those at stalled or stopped
 * instances, those while all instances with links to servers were stalled or stopped, and
 * those while no server ran a call of any caller: where these fail sooner, there are more.
 */
function listTriesInTouch(
  { calls, pauses, runs }: Observation,
  { fromMs, instances, toMs }: Observation["cutOffs"][number],
): readonly ObservedCall[] {
  const isInTouch = (instance: string, atMs: number) =>
    !wasPaused(pauses, instance, {
      fromMs: atMs - CUT_OFF_DELAY_MS,
      toMs: atMs,
    });
  const others = [...new Set(calls.map(({ instance }) => instance))]
    .filter((instance) => !instances.includes(instance));
  const workIds = new Set(
    calls.filter(({ kind }) => WORK_KINDS.includes(kind))
      .map(({ callId }) => callId),
  );
  const idleSpans = listIdleSpans(
    runs.filter(({ callId }) => workIds.has(callId)).map(({ atMs }) => atMs),
  );
  const isIdle = (atMs: number) =>
    idleSpans.some((span) => span.fromMs < atMs && span.toMs > atMs);
  return calls.filter(({ instance, kind, sentMs }) =>
    WORK_KINDS.includes(kind) && sentMs > fromMs + CUT_OFF_DELAY_MS &&
    sentMs < toMs && isInTouch(instance, sentMs) && !isIdle(sentMs) &&
    others.some((other) => isInTouch(other, sentMs))
  );
}

function computeServedShare(calls: readonly ObservedCall[]): number {
  return calls.length === 0 ? 1 : calls.filter(isServed).length / calls.length;
}

function checkKeys(observation: Observation): readonly Violation[] {
  const calls = new Map(observation.calls.map((call) => [call.callId, call]));
  return observation.runs.flatMap((run) => {
    const call = calls.get(run.callId);
    const problem = run.hasKey
      ? "received the API key of the caller"
      : call && explainWrongRun(observation, call, run);
    return problem === undefined ? [] : [
      {
        promise: "calls run for the team that holds their key",
        detail: `${run.server} ${problem} (call ${run.callId})`,
      } as const,
    ];
  });
}

/** Returns why a run does not fit the key of its call, or `undefined` if it does. */
function explainWrongRun(
  { revokedKeys, pauses }: Observation,
  { instance, key, kind, sentMs }: ObservedCall,
  { team }: Observation["runs"][number],
): string | undefined {
  if (kind === "stranger") return "ran a call with a key that no team held";
  const wanted = kind === "rotating" ? ROTATING_TEAM : STEADY_TEAM.name;
  if (team !== wanted) return `ran a call for team ${team}`;
  const revokedMs = revokedKeys.find((revoked) => revoked.key === key)?.atMs ??
    Infinity;
  const isLate = sentMs > revokedMs + REVOCATION_DELAY_MS;
  // An instance that was stalled or has just started had less time to learn of the revocation.
  const isExcused = wasPaused(pauses, instance, {
    fromMs: sentMs - REVOCATION_DELAY_MS,
    toMs: sentMs,
  });
  return isLate && !isExcused ? "ran a call with a revoked key" : undefined;
}

function checkService(
  { calls, recoveredFromMs, lastVersion }: Observation,
): readonly Violation[] {
  const late = calls.filter(({ kind, sentMs }) =>
    sentMs > recoveredFromMs && !KEY_KINDS.includes(kind)
  );
  const served = late.filter(isServed);
  const stale = late.filter((call) =>
    call.kind === "version" && (readVersion(call) ?? lastVersion) < lastVersion
  );
  const missing: readonly Violation[] =
    late.length > 0 && served.length >= MIN_SERVED_SHARE * late.length ? [] : [{
      promise: "service after the faults",
      detail: `${served.length} of ${late.length} calls served; others: ` +
        describeEnds(late.filter((call) => !served.includes(call))),
    }];
  return [
    ...missing,
    ...stale.map((call): Violation => ({
      promise: "service after the faults",
      detail: `${call.instance} is not at version ${lastVersion}`,
    })),
  ];
}

/** Returns how many calls of each instance ended in which way, and how long they took. */
function describeEnds(calls: readonly ObservedCall[]): string {
  const groups = new Map<string, ObservedCall[]>();
  calls.forEach((call) => {
    const { end, instance, kind } = call;
    const outcome = end.kind === "answered" ? end.status : end.kind;
    const name = `${instance} ${kind} ${outcome}`;
    groups.set(name, [...groups.get(name) ?? [], call]);
  });
  return [...groups].map(([name, group]) => {
    const durations = group.map(({ endedMs, sentMs }) => endedMs - sentMs);
    const longestMs = Math.round(Math.max(...durations));
    return `${group.length} ${name} (up to ${longestMs} ms)`;
  }).join(", ");
}

function checkProcesses({ processes }: Observation): readonly Violation[] {
  return processes.filter(({ descriptors, memoryMb }) =>
    memoryMb > MAX_MEMORY_MB || descriptors > MAX_DESCRIPTORS
  ).map(({ descriptors, instance, memoryMb }) => ({
    promise: "no growth",
    detail: `${instance}: ${memoryMb} MB, ${descriptors} descriptors`,
  }));
}
