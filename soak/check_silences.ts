import type { Violation } from "./check_promises.ts";
import {
  type Observation,
  type ObservedCall,
  STREAM_KINDS,
  WORK_KINDS,
} from "./observation.ts";

/**
 * Longest duration of a call that must be answered, in milliseconds: less than the shortest
 * timeout of its route.
 */
const MAX_DURATION_MS = 3_300;
/** Time that instances have after they were stalled, down or cut off, in milliseconds. */
const RECOVERY_MS = 1_000;
/** Kinds of calls that have to be answered. */
const ANSWERED_KINDS = [...WORK_KINDS, ...STREAM_KINDS];

/** Part of an observation that the check of silences needs. */
export type SilenceObservation = Pick<
  Observation,
  | "calls"
  | "cutOffs"
  | "pauses"
  | "runs"
  | "serverDisturbances"
  | "serverSilences"
>;

interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** A call, and the servers that ran it. */
interface SilentCall {
  readonly call: ObservedCall;
  readonly servers: ReadonlySet<string>;
}

/** Finds calls without an answer of their servers, which were disturbed by nothing but silence. */
export function checkSilences(
  observation: SilenceObservation,
): readonly Violation[] {
  return listSilentCalls(observation).filter(({ call: { end } }) =>
    end.kind !== "answered" || !end.isSigned
  ).map(({ call, servers }): Violation => {
    const { callId, end, endedMs, instance, kind, sentMs } = call;
    const outcome = end.kind === "answered" ? end.status : end.kind;
    const durationMs = Math.round(endedMs - sentMs);
    return {
      promise: "silence of a sound server ends no call",
      detail:
        `${kind} call ${callId} at ${instance}: ${outcome} after ${durationMs} ms, run by ${
          [...servers].join(" ")
        }`,
    };
  });
}

/**
 * Returns the calls that ran at servers which were silent meanwhile, where nothing else could
 * end them: neither a fault of a server or an instance nor a timeout.
 */
export function listSilentCalls(
  { calls, cutOffs, pauses, runs, serverDisturbances, serverSilences }:
    SilenceObservation,
): readonly SilentCall[] {
  const serversOf = new Map<string, Set<string>>();
  runs.forEach(({ callId, server }) =>
    serversOf.set(callId, (serversOf.get(callId) ?? new Set()).add(server))
  );
  const excuses = [
    ...cutOffs,
    ...pauses.filter(({ isGraceful = false }) => !isGraceful)
      .map(({ instance, ...span }) => ({ instances: [instance], ...span })),
  ].map(({ fromMs, instances, toMs }) => ({
    instances,
    fromMs,
    toMs: toMs + RECOVERY_MS,
  }));
  return calls.filter(({ endedMs, kind, sentMs }) =>
    ANSWERED_KINDS.includes(kind) && endedMs - sentMs <= MAX_DURATION_MS
  ).map((call) => ({
    call,
    servers: serversOf.get(call.callId) ?? new Set<string>(),
  })).filter(({ call, servers }) => {
    const isAtServer = (span: Span & { readonly server: string }) =>
      servers.has(span.server) && isDuring(call, span);
    const silences = serverSilences.filter(isAtServer);
    // An instance of the server's region calls it itself.
    const hops = silences.map(({ instances }) => instances)
      .filter((instances) => !instances.includes(call.instance));
    const passed = new Set([call.instance, ...hops.flat()]);
    return silences.length > 0 && !serverDisturbances.some(isAtServer) &&
      !excuses.some((span) =>
        span.instances.some((instance) => passed.has(instance)) &&
        isDuring(call, span)
      );
  });
}

function isDuring(
  { endedMs, sentMs }: ObservedCall,
  { fromMs, toMs }: Span,
): boolean {
  return fromMs < endedMs && toMs > sentMs;
}
