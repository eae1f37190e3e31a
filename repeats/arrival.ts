/** What a server did with a call that arrived. */
export type ArrivalKind =
  /** It ran the call. */
  | "ran"
  /** The call was meant for another server; it did not run. */
  | "misdirected"
  /** The server was busy; the call did not run. */
  | "rejected";

/** A call that arrived at a server. */
export interface Arrival {
  readonly callId: string;
  readonly kind: ArrivalKind;
  readonly server: string;
  /** Number of the connection among all connections to servers. */
  readonly connection: number;
  readonly atMs: number;
}

/** A call that a caller sent, and its answer. */
export interface SentCall {
  readonly callId: string;
  /** Instance that the caller called. */
  readonly instance: string;
  /** Status of the answer; 0: the connection broke, or none came in time. */
  readonly status: number;
}

/** A call that broke a promise, with all its arrivals in order. */
export interface BrokenPromise {
  /** `ran-twice`: it ran more than once. `refused-ran`: its caller was told that it has not run. */
  readonly kind: "ran-twice" | "refused-ran";
  readonly call: SentCall;
  readonly arrivals: readonly Arrival[];
}

/** Statuses with which callers are told that a call has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Returns the calls, each of which may run once, that ran twice, or that were refused and ran. */
export function checkArrivals(
  calls: readonly SentCall[],
  arrivals: readonly Arrival[],
): readonly BrokenPromise[] {
  return calls.flatMap((call): readonly BrokenPromise[] => {
    const own = arrivals.filter(({ callId }) => callId === call.callId);
    const runs = own.filter(({ kind }) => kind === "ran").length;
    if (runs > 1) return [{ kind: "ran-twice", call, arrivals: own }];
    const isRefused = NOT_RUN_STATUSES.includes(call.status);
    if (runs === 0 || !isRefused) return [];
    return [{ kind: "refused-ran", call, arrivals: own }];
  });
}
