import type {
  BackendId,
  Incarnation,
  InstanceId,
  RegionId,
  RolloutId,
  ServerVersion,
} from "../ids/mod.ts";

/**
 * Phase of an order. `trial`, `ramp` and `switch` follow each other; `completed` and
 * `rolled-back` are final.
 */
export type RolloutPhase =
  | "trial"
  | "ramp"
  | "switch"
  | "completed"
  | "rolled-back";

/** An operator's order to move a service's calls to servers of another version. */
export interface RolloutOrder {
  /** Era of the store and revision of the operator's entry, so each order has its own. */
  readonly id: RolloutId;
  readonly service: string;
  readonly destination: ServerVersion;
  readonly durationMs: number;
}

/** How far an order has come, as it is recorded in the store. */
export interface RolloutProgress {
  readonly id: RolloutId;
  readonly destination: ServerVersion;
  readonly durationMs: number;
  /** Wall-clock time of the instance that first recorded the order, in milliseconds. */
  readonly startedMs: number;
  /** Wall-clock time at which the phase began, in milliseconds. Default: `startedMs`. */
  readonly phaseSinceMs?: number;
  readonly phase: RolloutPhase;
  /** Why the order was rolled back. */
  readonly reason?: string;
}

/** The record of a service in the store: the decisions on its versions. */
export interface RolloutRecord {
  readonly service: string;
  /** Versions whose servers get calls without an order. */
  readonly inForce: readonly ServerVersion[];
  /** The latest order. Default: none so far. */
  readonly order?: RolloutProgress;
  /** Destinations that were rolled back and not ordered again since. Default: none. */
  readonly rejected?: readonly ServerVersion[];
  /**
   * Number of writes to this record. In a store restored from an older copy it is smaller
   * than in the memory of instances. Default: 0.
   */
  readonly sequence?: number;
}

/** Bounds of the deployment on rollouts. */
export interface RolloutBounds {
  /** Share of a service's requests that a bad version may get during an order. */
  readonly exposureShare: number;
  /** Requests that a bad version may get beyond that share. */
  readonly exposureSlack: number;
  /** Longest time from the 50th bad response to the last send, in milliseconds. */
  readonly rollbackMs: number;
  /** Silence after which an instance counts as unreachable, in milliseconds. */
  readonly contactMs: number;
}

/** A registered server with its version. */
export interface VersionedServer {
  readonly id: BackendId;
  readonly service: string;
  readonly region: RegionId;
  readonly version: ServerVersion;
  /** Whether it may get calls: registered, not draining, domain not evacuated. */
  readonly isReady: boolean;
  /** Until when it counts as cold, in milliseconds; 0 if it is warm. */
  readonly coldUntilMs: number;
}

/** What decides which servers one send of a call may use. */
export interface VersionedCall {
  readonly service: string;
  /** Region whose servers the call is about to be sent to. */
  readonly region: RegionId;
  /** Route, as in `VersionedSend`: rare routes get a larger share. Default: none. */
  readonly route?: string;
  /** Last shared part of the prompt. Default: none; the call is assigned at random. */
  readonly affinityKey?: string;
  /** `false` for retries, handovers and resumed streams. */
  readonly isFirstSend: boolean;
  /** Version that began the stream which this send resumes. Default: none. */
  readonly mustUse?: ServerVersion;
}

/** Which servers one send may use; `RolloutTracker.isAllowed` applies it. */
export type VersionAssignment =
  /** No rule on versions applies to the service. */
  | { readonly kind: "any" }
  /** Servers of these versions. */
  | { readonly kind: "in-force"; readonly versions: readonly ServerVersion[] }
  /**
   * These canary servers. If none has capacity, the sender assigns the call again with
   * `isFirstSend: false`, unless it set `mustUse`.
   */
  | {
    readonly kind: "trial";
    readonly destination: ServerVersion;
    readonly servers: ReadonlySet<BackendId>;
  }
  /**
   * All servers of the destination. If none can take the call, the sender assigns it again
   * with `isFirstSend: false`, unless it set `mustUse`.
   */
  | { readonly kind: "destination"; readonly destination: ServerVersion }
  /** No server: the version that began the stream gets no more calls. */
  | { readonly kind: "none" };

/** How one send ended. */
export type SendOutcome =
  /** The whole response arrived. */
  | {
    readonly kind: "answered";
    /** Time to the first byte, in milliseconds. */
    readonly firstByteMs: number;
    /** Longest gap between events of the stream. Default: not a stream, or a single event. */
    readonly longestGapMs?: number;
  }
  /** 5xx, truncated or missing response, wrong bytes. */
  | { readonly kind: "failed" }
  /** Rejected without having run, or ended by the caller: says nothing of the version. */
  | { readonly kind: "ignored" }
  /** No byte was sent, as the connection did not open: the server got no call. */
  | { readonly kind: "not-sent" };

/** How a send ended that shows something of the server's version. */
export type ResponseOutcome = Extract<
  SendOutcome,
  { readonly kind: "answered" | "failed" }
>;

/** One send that has begun. */
export interface SendRecord {
  /** Records the end of the send; later calls have no effect. */
  end(outcome: SendOutcome): void;
}

/** A send that is about to begin. */
export interface VersionedSend {
  readonly service: string;
  readonly server: BackendId;
  /** Route whose responses are compared with each other. */
  readonly route: string;
}

/** Count, sum and sum of squares of logarithms of durations. */
export interface LogSums {
  readonly count: number;
  readonly sum: number;
  readonly squares: number;
  /**
   * Durations several times longer than the geometric mean of the versions in force on the
   * same route: the mean of all shows little if only a part is slow.
   */
  readonly slow: number;
}

/** Whose responses a row counts: those of the versions in force together, or of one server. */
export type EvidenceSubject = "in-force" | BackendId;

/** Counters of the responses of one route and one subject, cumulative for the order. */
export interface EvidenceRow {
  readonly route: string;
  readonly subject: EvidenceSubject;
  /** Responses, failures included. */
  readonly responses: number;
  readonly failures: number;
  /** Logarithms of the time to first byte in milliseconds, without those of cold servers. */
  readonly firstByte: LogSums;
  /** Logarithms of the longest gap of each stream in milliseconds. */
  readonly gap: LogSums;
}

/** What is reported of one order. */
export interface RolloutReport {
  readonly id: RolloutId;
  readonly service: string;
  /** Phase in which the sender is; in scope `region`, the earliest of its members. */
  readonly phase: RolloutPhase;
  /** Whether the destination was found bad; never unset for the same order. */
  readonly isBad: boolean;
  /** Calls in flight at servers of versions that the order replaces. */
  readonly previousCalls: number;
  /** Canary servers that look faulty, which the canary avoids. Default: none. */
  readonly suspects?: readonly BackendId[];
  /** Empty in scope `summary`. */
  readonly evidence: readonly EvidenceRow[];
}

/**
 * What a report covers: `instance`, one instance, for its aggregators; `region`, all
 * instances of a region, for other regions; `summary`, decisions only, for members.
 */
export type RolloutReportScope = "instance" | "region" | "summary";

/** Where reports came from. */
export interface RolloutReportOrigin {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly scope: RolloutReportScope;
}

/** Another instance, or this one, as a rollout must wait for it. */
export interface RolloutMember {
  readonly instance: InstanceId;
  readonly region: RegionId;
}

/** What the tracker must know of the instances. */
export interface RolloutFleet {
  /** Id of this instance. */
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  /** Region of this instance. */
  readonly region: RegionId;
  /** Returns all instances that are registered or live, this one included. */
  listMembers(): readonly RolloutMember[];
  /** Returns whether this instance hears others, or is the only one. */
  isInTouch(nowMs: number): boolean;
}

/** Status for the operator, derived from a record. */
export interface RolloutStatus {
  readonly service: string;
  readonly destination: ServerVersion;
  readonly state: "running" | "completed" | "rolled_back";
}

/** Something to log; at most a few of each kind for an order. */
export type RolloutEvent =
  | { readonly kind: "ordered"; readonly order: RolloutOrder }
  | {
    readonly kind: "phase";
    readonly service: string;
    readonly id: RolloutId;
    readonly phase: RolloutPhase;
    readonly reason?: string;
    readonly evidence: readonly EvidenceRow[];
  }
  | {
    readonly kind: "found-bad";
    readonly service: string;
    readonly id: RolloutId;
    /** The finding, or that another instance reported it. */
    readonly reason: string;
    readonly evidence: readonly EvidenceRow[];
  };
