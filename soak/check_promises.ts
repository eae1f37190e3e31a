import {
  createRecordedBody,
  STREAM_EVENTS,
} from "../standin/recording_server.ts";
import { ROTATING_TEAM, STEADY_TEAM } from "./caller.ts";
import { KEY_KINDS, type Observation, type SeenCall } from "./observation.ts";

/** A promise that was broken. */
export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Names of the promises, as docs/SOAK.md lists them. */
export type PromiseName =
  | "whole answers"
  | "at most once"
  | "not run is true"
  | "nothing new at what left"
  | "configuration never back"
  | "directory names no dead instance"
  | "directory leads no call astray"
  | "a stop cuts nothing"
  | "who has gone is not served"
  | "a call that ends servers is kept from them"
  | "what servers say of themselves is heeded"
  | "a server gets no more than the limit that it names"
  | "calls run for the team that holds their key"
  | "service after the faults"
  | "no growth";

/** Statuses that say that a call did not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/**
 * Time after which a server that left gets nothing new, in milliseconds: the
 * users' 3 s, and as much again for a machine with more to do.
 */
const LEFT_AFTER_MS = 6_000;
/** Time after which the directory forgets an instance, in milliseconds: the users' 8 s, and 4 s more. */
const FORGOTTEN_AFTER_MS = 12_000;
/** Time after which a call of a caller that has gone is not begun, in milliseconds: the users' half a second. */
const GONE_AFTER_MS = 500;
/** Servers that may end under one call before each instance has to know. */
const ENDED_SERVERS = 3;
/** Time after which each instance knows, in milliseconds, and runs that may follow: the users'. */
const ENDING_KNOWN_MS = 5_000;
const LATE_RUNS = 3;
/** Time after which an instance heeds what a server says, in milliseconds: the users'. */
const WORD_HEARD_MS = 500;
/**
 * Calls that a server may get after that from all instances together: some hear its word
 * late, each with at most so many callers at a time.
 */
const LATE_CALLS = 24;
/** Span in which a server that names a limit counts its calls, in milliseconds: the users'. */
const LIMIT_WINDOW_MS = 4_000;
/** Factor on what the limit allows in that span, and calls beside it: the users'. */
const LIMIT_OVERSHOOT = 1.5;
const LIMIT_SLACK_CALLS = 5;
/**
 * Time after which a key that was taken away runs nothing, in milliseconds: the users'
 * 5 s, and as much again for a store that is away as long as a fault lasts.
 */
const KEY_GONE_AFTER_MS = 10_000;
/** Part of the calls after the faults that must be served. */
const SERVED_PART = 0.95;
/** What one process may hold: half as much again as was seen in runs with 6 instances. */
const MOST_MEMORY_MB = 200;
const MOST_DESCRIPTORS = 1_000;

/** Returns what of the promises was broken in a run. */
export function checkPromises(seen: Observation): readonly Violation[] {
  return [
    ...checkAnswers(seen),
    ...checkAtMostOnce(seen),
    ...checkNotRun(seen),
    ...checkDepartures(seen),
    ...checkVersions(seen),
    ...checkDirectories(seen),
    ...checkAstray(seen),
    ...checkStops(seen),
    ...checkLeft(seen),
    ...checkEndingCalls(seen),
    ...checkWords(seen),
    ...checkLimits(seen),
    ...checkKeys(seen),
    ...checkService(seen),
    ...checkProcesses(seen),
  ];
}

function describe(call: SeenCall): string {
  const end = call.end.kind === "answered" ? call.end.status : call.end.kind;
  return `${call.kind} call ${call.callId} at ${call.instance}: ${end}`;
}

function checkAnswers({ calls }: Observation): readonly Violation[] {
  return calls.filter((call) => !isSound(call)).map((call) => ({
    promise: "whole answers",
    detail: describe(call),
  }));
}

function isSound({ callId, end, kind }: SeenCall): boolean {
  if (end.kind === "broken") return kind !== "stream" || isPrefix(end.body);
  if (end.kind !== "answered" || end.status !== 200) return true;
  if (!end.isSigned) return false;
  if (kind === "stream") return end.body === createStreamBody(callId);
  const service =
    (JSON.parse(end.body) as { readonly service: string }).service;
  return end.body === createRecordedBody(callId, service);

  /** What came of a stream that broke off is its beginning, in order. */
  function isPrefix(body: string): boolean {
    return createStreamBody(callId).startsWith(body);
  }
}

function createStreamBody(callId: string): string {
  return Array.from(
    { length: STREAM_EVENTS },
    (_, at) => `id: ${at + 1}\ndata: ${callId} ${at + 1}\n\n`,
  ).join("");
}

function countRuns({ runs }: Observation): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  runs.forEach(({ callId }) =>
    counts.set(callId, (counts.get(callId) ?? 0) + 1)
  );
  return counts;
}

function checkAtMostOnce(seen: Observation): readonly Violation[] {
  const counts = countRuns(seen);
  return seen.calls.filter(({ callId, kind }) =>
    kind === "non-idempotent" && (counts.get(callId) ?? 0) > 1
  ).map((call) => ({
    promise: "at most once",
    detail: `${describe(call)}, ran ${counts.get(call.callId)} times`,
  }));
}

function checkNotRun(seen: Observation): readonly Violation[] {
  const counts = countRuns(seen);
  return seen.calls.filter(({ callId, end, kind }) =>
    kind === "non-idempotent" && end.kind === "answered" &&
    NOT_RUN.has(end.status) && counts.has(callId)
  ).map((call) => ({ promise: "not run is true", detail: describe(call) }));
}

function checkDepartures(
  { disturbedMs, runs, serverDepartures }: Observation,
): readonly Violation[] {
  return serverDepartures.flatMap(({ id, atMs, untilMs }) => {
    const dueMs = atMs + LEFT_AFTER_MS;
    // Whoever was cut off or stood still meanwhile could not know.
    const isExcused = disturbedMs.some(({ fromMs, toMs }) =>
      fromMs < dueMs && toMs > atMs - LEFT_AFTER_MS
    );
    if (isExcused) return [];
    return runs.filter((run) =>
      run.server === id && run.atMs > dueMs && run.atMs < untilMs
    ).map((run): Violation => ({
      promise: "nothing new at what left",
      detail: `${id} ran ${run.callId} ${run.atMs - atMs} ms after it left`,
    }));
  });
}

/** Each start of an instance is asked one call at a time: versions only grow. */
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
        promise: "configuration never back",
        detail: `${call.instance} applied ${version} after ${before}`,
      } as const,
    ];
  });
}

/** The service that answered is named after the version that leads to it. */
function readVersion({ end }: SeenCall): number | undefined {
  if (end.kind !== "answered" || end.status !== 200) return undefined;
  const { service } = JSON.parse(end.body) as { readonly service: string };
  return Number(service.split("-")[1]);
}

function checkDirectories(
  { directories, instanceDepartures }: Observation,
): readonly Violation[] {
  return instanceDepartures.flatMap(({ id, atMs, untilMs }) =>
    directories.filter((directory) =>
      directory.atMs > atMs + FORGOTTEN_AFTER_MS &&
      directory.atMs < untilMs && directory.hosts.includes(id)
    ).map((directory): Violation => ({
      promise: "directory names no dead instance",
      detail: `${id}, ${directory.atMs - atMs} ms after its end`,
    }))
  );
}

/** Bound calls go to their homes or stay in their caller's region, whatever is wrong. */
function checkAstray({ directories }: Observation): readonly Violation[] {
  return directories.filter(({ astray }) => astray.length > 0)
    .map(({ astray }): Violation => ({
      promise: "directory leads no call astray",
      detail: `to ${astray.join(" ")}`,
    }));
}

function checkStops({ calls, stops }: Observation): readonly Violation[] {
  return stops.filter(({ isCalm }) => isCalm).flatMap(({ atMs, instance }) =>
    calls.filter((call) =>
      call.instance === instance && call.end.kind === "broken" &&
      call.sentMs <= atMs && call.endedMs >= atMs
    ).map((call): Violation => ({
      promise: "a stop cuts nothing",
      detail: describe(call),
    }))
  );
}

function checkLeft({ left, runs }: Observation): readonly Violation[] {
  const leftMs = new Map(left.map((each) => [each.callId, each.leftMs]));
  return runs.filter(({ atMs, callId }) =>
    atMs > (leftMs.get(callId) ?? Infinity) + GONE_AFTER_MS
  ).map(({ atMs, callId, server }) => ({
    promise: "who has gone is not served",
    detail: `${server} ran ${callId} ${
      Math.round(atMs - leftMs.get(callId)!)
    } ms after its caller had left`,
  }));
}

/** All calls under which servers end have one content. */
function checkEndingCalls(
  { calls, pauses, runs }: Observation,
): readonly Violation[] {
  const ending = runs.filter(({ isEnding }) => isEnding);
  const ended = [...new Set(ending.map(({ server }) => server))];
  const last = ending.find(({ server }) => server === ended[ENDED_SERVERS - 1]);
  if (last === undefined) return [];
  const takenBy = new Map(
    calls.map(({ callId, instance }) => [callId, instance]),
  );
  // An instance that has just started has the same time to hear of it.
  const late = ending.filter(({ atMs, callId }) =>
    atMs > last.atMs + ENDING_KNOWN_MS &&
    !pauses.some(({ fromMs, instance, toMs }) =>
      instance === takenBy.get(callId) && fromMs < atMs &&
      toMs > atMs - ENDING_KNOWN_MS
    )
  );
  return late.length <= LATE_RUNS ? [] : [{
    promise: "a call that ends servers is kept from them",
    detail: `${late.length} runs after ${ENDED_SERVERS} servers had ended`,
  }];
}

function checkWords(
  { refusals, runs, words }: Observation,
): readonly Violation[] {
  return words.flatMap(({ fromMs, kind, server, toMs }) => {
    if (kind === "limit") return [];
    const calls = (kind === "rest" ? refusals : runs)
      .filter((call) => call.server === server && call.atMs >= fromMs);
    const heardMs = (calls[0]?.atMs ?? toMs) + WORD_HEARD_MS;
    const late = calls.filter(({ atMs }) => atMs > heardMs && atMs < toMs);
    return late.length <= LATE_CALLS ? [] : [
      {
        promise: "what servers say of themselves is heeded",
        detail: `${server} got ${late.length} calls after its word (${kind})`,
      } as const,
    ];
  });
}

function checkLimits({ runs, words }: Observation): readonly Violation[] {
  return words.flatMap((word) => {
    if (word.kind !== "limit") return [];
    const { fromMs, perSecond, server, toMs } = word;
    const named = runs.filter((run) =>
      run.server === server && run.atMs >= fromMs && run.atMs < toMs
    ).map(({ atMs }) => atMs);
    const heardMs = (named[0] ?? toMs) + WORD_HEARD_MS;
    const counted = named.filter((atMs) => atMs > heardMs);
    const most = Math.max(
      0,
      ...counted.map((first) =>
        counted.filter((atMs) =>
          atMs >= first && atMs < first + LIMIT_WINDOW_MS
        ).length
      ),
    );
    const allowed = LIMIT_OVERSHOOT * perSecond * LIMIT_WINDOW_MS / 1_000 +
      LIMIT_SLACK_CALLS + LATE_CALLS;
    return most <= allowed ? [] : [
      {
        promise: "a server gets no more than the limit that it names",
        detail: `${server} got ${most} calls in 4 s, limit ${perSecond}`,
      } as const,
    ];
  });
}

function checkKeys(seen: Observation): readonly Violation[] {
  const calls = new Map(seen.calls.map((call) => [call.callId, call]));
  return seen.runs.flatMap((run) => {
    const call = calls.get(run.callId);
    const wrong = run.hasKey
      ? "got its key"
      : call && explainWrongRun(seen, call, run);
    return wrong === undefined ? [] : [
      {
        promise: "calls run for the team that holds their key",
        detail: `${run.server} ${wrong} with ${run.callId}`,
      } as const,
    ];
  });
}

/** Returns what is wrong with a run by the key of its call, or `undefined`. */
function explainWrongRun(
  { keyEnds, pauses }: Observation,
  { instance, key, kind, sentMs }: SeenCall,
  { team }: Observation["runs"][number],
): string | undefined {
  if (kind === "stranger") return "ran a key that nobody held";
  const wanted = kind === "rotating" ? ROTATING_TEAM : STEADY_TEAM.name;
  if (team !== wanted) return `ran for team ${team}`;
  const endedMs = keyEnds.find((end) => end.key === key)?.atMs ?? Infinity;
  const isLate = sentMs > endedMs + KEY_GONE_AFTER_MS;
  // Whoever stood still, or has just started, had less time to hear of it.
  const isExcused = pauses.some((pause) =>
    pause.instance === instance && pause.fromMs < sentMs &&
    pause.toMs > sentMs - KEY_GONE_AFTER_MS
  );
  return isLate && !isExcused ? "ran a key that was taken away" : undefined;
}

function checkService(
  { calls, calmFromMs, lastVersion }: Observation,
): readonly Violation[] {
  const late = calls.filter(({ kind, sentMs }) =>
    sentMs > calmFromMs && !KEY_KINDS.includes(kind)
  );
  const served = late.filter(({ end }) =>
    end.kind === "answered" && end.status === 200
  );
  const stale = late.filter((call) =>
    call.kind === "version" && (readVersion(call) ?? lastVersion) < lastVersion
  );
  const missing: readonly Violation[] =
    late.length > 0 && served.length >= SERVED_PART * late.length ? [] : [{
      promise: "service after the faults",
      detail: `${served.length} of ${late.length} calls served`,
    }];
  return [
    ...missing,
    ...stale.map((call): Violation => ({
      promise: "service after the faults",
      detail: `${call.instance} is not at version ${lastVersion}`,
    })),
  ];
}

function checkProcesses({ processes }: Observation): readonly Violation[] {
  return processes.filter(({ descriptors, memoryMb }) =>
    memoryMb > MOST_MEMORY_MB || descriptors > MOST_DESCRIPTORS
  ).map(({ descriptors, instance, memoryMb }) => ({
    promise: "no growth",
    detail: `${instance}: ${memoryMb} MB, ${descriptors} descriptors`,
  }));
}
