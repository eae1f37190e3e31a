import type {
  RecordedBadAnswer,
  RecordedRefusal,
  RecordedRun,
} from "../standin/recording_server.ts";

/** Kind of a call, which decides its route, its body and its API key. */
export type CallKind =
  | "idempotent"
  | "non-idempotent"
  | "stream"
  /** A stream that its caller resumes. */
  | "resumed-stream"
  /** A stream that must not be resumed. */
  | "single-stream"
  | "version"
  /** A call that crashes the server that runs it. */
  | "ending"
  /** A call like no other but for a prompt part that crashes the server that runs it. */
  | "ending-part"
  /** A call of the team whose key changes with each configuration version. */
  | "rotating"
  /** A call with a key that no team ever held; it must not run. */
  | "stranger";

/** Kinds of calls that have to be served. */
export const WORK_KINDS: readonly CallKind[] = [
  "idempotent",
  "non-idempotent",
  "stream",
];
/** Kinds of streams that have to be served, too. */
export const STREAM_KINDS: readonly CallKind[] = [
  "resumed-stream",
  "single-stream",
];
/** Kinds of calls whose key is revoked or unknown, so that they must not be served. */
export const KEY_KINDS: readonly CallKind[] = ["rotating", "stranger"];

/** Outcome of a call, as its caller observed it. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly isSigned: boolean;
    /** Whether only the normal end of the connection ended the answer, which may have been cut. */
    readonly mayBeCut: boolean;
    readonly body: string;
  }
  /** The connection ended before the answer was complete. */
  | { readonly kind: "broken"; readonly body: string }
  /** No connection was established, so nothing was sent. */
  | { readonly kind: "not-connected" }
  /** The caller gave up waiting for the answer. */
  | { readonly kind: "timed-out" };

/** One call, as its caller observed it. */
export interface ObservedCall {
  readonly callId: string;
  readonly kind: CallKind;
  readonly instance: string;
  /** Number of the start of the instance's process that received the call. */
  readonly start: number;
  /** API key that the call presents. */
  readonly key: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly end: CallOutcome;
}

/** Returns whether a caller got an answer with status 200. */
export function isServed({ end }: ObservedCall): boolean {
  return end.kind === "answered" && end.status === 200;
}

/** A call whose caller disconnected before it got an answer. */
export interface AbandonedCall {
  readonly callId: string;
  readonly abandonedMs: number;
}

/** Time during which a server was not to be called or an instance was down. */
export interface Departure {
  readonly id: string;
  /**
   * When the store had accepted the change of the server's entry, or when the process had
   * ended.
   */
  readonly atMs: number;
  /** When the server or instance was available again; `Infinity` if never. */
  readonly untilMs: number;
}

/** Answer of the directory of an instance. */
export interface DirectoryAnswer {
  readonly atMs: number;
  readonly hosts: readonly string[];
  /** Hosts of the answer to which the caller's calls must not be directed. */
  readonly forbiddenHosts: readonly string[];
}

/** Resources that a process uses, as the operating system reports them. */
export interface ProcessResources {
  readonly instance: string;
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** A planned graceful shutdown of an instance. */
export interface InstanceStop {
  readonly instance: string;
  readonly atMs: number;
  /** Whether no other fault was active at the time. */
  readonly isUndisturbed: boolean;
}

/** Time during which instances were cut off from all servers. */
export interface CutOff {
  readonly instances: readonly string[];
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time during which an instance was stalled or down. */
export interface InstancePause {
  readonly instance: string;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether it was shut down gracefully. Default: no. */
  readonly isGraceful?: boolean;
}

/** Time during which a sound server was silent, and went on afterwards. */
export interface ServerSilence {
  readonly server: string;
  /** Instances of the server's region, through which calls from other regions pass. */
  readonly instances: readonly string[];
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time during which a fault may have kept a server from answering. */
export interface ServerDisturbance {
  readonly server: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** State that a server advertised in its answers alone: its entry in the store did not change. */
export type ServerAdvertisement =
  & {
    readonly server: string;
    readonly fromMs: number;
    readonly toMs: number;
  }
  & (
    /** The server is leaving, or asks for a cool-down. */
    | { readonly kind: "leaving" | "rest" }
    /** The server accepts this many calls per second from all instances together. */
    | { readonly kind: "limit"; readonly perSecond: number }
    /** The server fails if it rejects more calls per second. */
    | { readonly kind: "brittle"; readonly perSecond: number }
  );

/** A key that was revoked. */
export interface RevokedKey {
  readonly key: string;
  /** When the store had accepted the configuration without it. */
  readonly atMs: number;
}

/** Status of a rollout, as it was read from the store. */
export interface RolloutStatusReading {
  readonly atMs: number;
  readonly state: string;
  readonly destination: string;
}

/** A call that an old server had not answered when the platform stopped it. */
export interface InterruptedRun {
  readonly callId: string;
  readonly server: string;
  readonly atMs: number;
}

/** A rollout that the operator ordered. */
export interface ObservedRollout {
  readonly service: string;
  readonly destination: string;
  /** Whether a part of the destination's answers are failures. */
  readonly isBad: boolean;
  /** When the operator began to write the order, in milliseconds. */
  readonly orderedFromMs: number;
  /** When the order's time limit ends, in milliseconds. */
  readonly deadlineMs: number;
  /** When the operator read that it was rolled back; `undefined`: never. */
  readonly rolledBackMs: number | undefined;
  /** When the operator read that it was completed; `undefined`: never. */
  readonly completedMs: number | undefined;
  readonly badAnswers: readonly RecordedBadAnswer[];
  /** Readings of the status, in order. */
  readonly statuses: readonly RolloutStatusReading[];
  readonly interruptedRuns: readonly InterruptedRun[];
}

/** Everything that was observed from outside the processes in one run. */
export interface Observation {
  readonly calls: readonly ObservedCall[];
  readonly runs: readonly RecordedRun[];
  /** Calls of crowds, whose callers disconnected before they got an answer. */
  readonly abandonedCalls: readonly AbandonedCall[];
  readonly serverDepartures: readonly Departure[];
  readonly instanceDepartures: readonly Departure[];
  readonly directories: readonly DirectoryAnswer[];
  readonly processes: readonly ProcessResources[];
  readonly stops: readonly InstanceStop[];
  /**
   * Times at which an instance, the store or a link to the store was disturbed, for which some
   * checks make allowance.
   */
  readonly disturbedSpans: readonly {
    readonly fromMs: number;
    readonly toMs: number;
  }[];
  readonly pauses: readonly InstancePause[];
  readonly cutOffs: readonly CutOff[];
  readonly serverSilences: readonly ServerSilence[];
  readonly serverDisturbances: readonly ServerDisturbance[];
  readonly advertisements: readonly ServerAdvertisement[];
  /** Calls that servers refused when they asked for a cool-down. */
  readonly refusals: readonly RecordedRefusal[];
  /** Calls that servers rejected because all slots were taken. */
  readonly rejections: readonly RecordedRefusal[];
  readonly revokedKeys: readonly RevokedKey[];
  readonly rollouts: readonly ObservedRollout[];
  /** When the store was restored from a backup. */
  readonly storeRestoresMs: readonly number[];
  /** Version of the last configuration. */
  readonly lastVersion: number;
  /** Time from which on all calls must be served again. */
  readonly recoveredFromMs: number;
}
