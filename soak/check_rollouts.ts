import type { RecordedRun } from "../standin/recording_server.ts";
import { RESUMED_AFTER } from "./caller.ts";
import type { PromiseName, Violation } from "./check_promises.ts";
import {
  isServed,
  type Observation,
  type ObservedRollout,
  WORK_KINDS,
} from "./observation.ts";

/** Bounds of rollouts in the instances' settings: the users' requirement. */
export const ROLLOUT_BOUNDS = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
  contactMs: 6_000,
} as const;
/** Version that is in force before the first rollout. */
const FIRST_VERSION = "v1";
/** Bad answers after which the rollback time begins: the users' requirement. */
const COUNTED_BAD_ANSWERS = 50;

/** Part of an observation that the checks of rollouts need. */
export type RolloutObservation = Pick<
  Observation,
  | "calls"
  | "pauses"
  | "refusals"
  | "rejections"
  | "rollouts"
  | "runs"
  | "storeRestoresMs"
>;

/** Finds broken promises of rollouts in what callers and servers observed. */
export function checkRollouts(
  observation: RolloutObservation,
): readonly Violation[] {
  return [
    ...checkOrders(observation),
    ...checkStreams(observation),
    ...observation.rollouts.flatMap((rollout) => [
      ...checkExposure(observation, rollout),
      ...checkRollback(observation, rollout),
      ...checkFinality(observation, rollout),
      ...checkInterruptions(observation, rollout),
    ]),
  ];
}

/** Finds calls at servers of a version that is not in force and is not or no longer ordered. */
function checkOrders(
  { rollouts, runs }: RolloutObservation,
): readonly Violation[] {
  const isAllowed = ({ atMs, service, version }: RecordedRun) => {
    const own = rollouts.filter((rollout) => rollout.service === service);
    return version === FIRST_VERSION
      ? own.every(({ completedMs = Infinity }) =>
        // Unreachable instances may not know of the end for so long.
        atMs <= completedMs + ROLLOUT_BOUNDS.contactMs
      )
      : own.some(({ destination, orderedFromMs, rolledBackMs = Infinity }) =>
        destination === version && atMs >= orderedFromMs &&
        atMs <= rolledBackMs + ROLLOUT_BOUNDS.rollbackMs
      );
  };
  return runs.filter((run) => !isAllowed(run)).map((
    { atMs, callId, server, version },
  ) => ({
    promise: "versions without an order get no calls",
    detail: `${server} of ${version} ran ${callId} at ${Math.round(atMs)} ms`,
  }));
}

/** Finds streams that were continued by a server of another version. */
function checkStreams(
  { calls, runs }: RolloutObservation,
): readonly Violation[] {
  const versions = new Map<string, string>();
  // The events that a caller has before its call are not of a run of this call.
  const resumedByCaller = new Set(
    calls.filter(({ kind }) => kind === "resumed-stream")
      .map(({ callId }) => callId),
  );
  return runs.flatMap(({ callId, resumedAfter = 0, version }) => {
    const before = versions.get(callId);
    versions.set(callId, version);
    const firstEvent = resumedByCaller.has(callId) ? RESUMED_AFTER : 0;
    const isJoined = resumedAfter > firstEvent && before !== undefined &&
      before !== version;
    return isJoined
      ? [{
        promise: "streams are of one version" as const,
        detail: `${callId} went on at ${version} after ${before}`,
      }]
      : [];
  });
}

/** Counts the calls that reach a bad version until its time limit; refused calls count, too. */
function checkExposure(
  { refusals, rejections, runs }: RolloutObservation,
  { deadlineMs, destination, isBad, orderedFromMs, service }: ObservedRollout,
): readonly Violation[] {
  if (!isBad) return [];
  const isInTime = ({ atMs }: { readonly atMs: number }) =>
    atMs >= orderedFromMs && atMs <= deadlineMs;
  const arrived = runs.filter((run) =>
    run.service === service && isInTime(run)
  );
  // Only servers of the version in force refuse calls while a bad version is on trial.
  const total = arrived.length + [...refusals, ...rejections].filter(isInTime)
    .length;
  const exposed = arrived.filter(({ version }) => version === destination);
  const { exposureShare, exposureSlack } = ROLLOUT_BOUNDS;
  return exposed.length <= exposureShare * total + exposureSlack ? [] : [
    describe(
      "bad versions get at most their exposure",
      `${destination} got ${exposed.length} of ${total} calls`,
    ),
  ];
}

/** Finds calls that reach a bad version too long after it was shown to be bad. */
function checkRollback(
  { runs }: RolloutObservation,
  { badAnswers, destination, isBad, service }: ObservedRollout,
): readonly Violation[] {
  const last = badAnswers[COUNTED_BAD_ANSWERS - 1];
  if (!isBad || last === undefined) return [];
  const late = runs.filter((run) =>
    run.service === service && run.version === destination &&
    run.atMs > last.atMs + ROLLOUT_BOUNDS.rollbackMs
  );
  return late.length === 0 ? [] : [
    describe(
      "bad versions are rolled back in time",
      `${destination} got ${late.length} calls, the last ${
        Math.round(late.at(-1)!.atMs - last.atMs)
      } ms after its bad answer number ${COUNTED_BAD_ANSWERS}`,
    ),
  ];
}

/**
 * Finds a status that changes after `completed` or `rolled_back`. A store that is restored from
 * a backup may show an earlier status once more, but never the other end.
 */
function checkFinality(
  { storeRestoresMs }: RolloutObservation,
  { destination, statuses }: ObservedRollout,
): readonly Violation[] {
  const own = statuses.filter((status) => status.destination === destination);
  const end = own.find(({ state }) => state !== "running");
  if (end === undefined) return [];
  const turned = own.find(({ atMs, state }) =>
    atMs > end.atMs && state !== end.state &&
    (state !== "running" ||
      !storeRestoresMs.some((restoredMs) =>
        restoredMs > end.atMs && restoredMs <= atMs
      ))
  );
  return turned === undefined ? [] : [
    describe(
      "the end of a rollout is final",
      `${destination} was ${end.state} and ${turned.state} ${
        Math.round(turned.atMs - end.atMs)
      } ms later`,
    ),
  ];
}

/** Finds calls that were lost because old servers stopped at `completed`. */
function checkInterruptions(
  { calls, pauses }: RolloutObservation,
  { interruptedRuns }: ObservedRollout,
): readonly Violation[] {
  return interruptedRuns.flatMap(({ atMs, callId, server }) => {
    const call = calls.find((other) => other.callId === callId);
    if (call === undefined || !WORK_KINDS.includes(call.kind)) return [];
    // A server behind a silent link may not know that its caller has gone.
    if (call.endedMs < atMs) return [];
    // A call may be lost with an instance that was stalled or stopped, also one it passed through.
    const isExcused = pauses.some(({ fromMs, toMs }) =>
      fromMs < call.endedMs && toMs > call.sentMs
    );
    return isServed(call) || isExcused ? [] : [
      describe(
        "a completed rollout interrupts no call",
        `${call.kind} call ${callId} was running at ${server}`,
      ),
    ];
  });
}

function describe(promise: PromiseName, detail: string): Violation {
  return { promise, detail };
}
