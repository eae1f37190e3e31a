import type {
  RecordedRefusal,
  RecordedRun,
} from "../standin/recording_server.ts";

/** What a call asks for. */
export type CallKind =
  | "idempotent"
  | "non-idempotent"
  | "stream"
  | "version"
  /** To end the server that runs it. */
  | "ending"
  /** To be run for the team that holds a key for one version only. */
  | "rotating"
  /** Nothing, with a key that no team ever held. */
  | "stranger";

/** Calls with keys that are taken away, or that nobody holds: they are not to be served. */
export const KEY_KINDS: readonly CallKind[] = ["rotating", "stranger"];

/** How a call ended, as its caller saw it. */
export type CallEnd =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly isSigned: boolean;
    readonly body: string;
  }
  /** The connection ended before the answer did. */
  | { readonly kind: "broken"; readonly body: string }
  /** No connection was made, so nothing was sent. */
  | { readonly kind: "not-connected" }
  /** The caller's time was over. */
  | { readonly kind: "timed-out" };

/** One call as its caller saw it. */
export interface SeenCall {
  readonly callId: string;
  readonly kind: CallKind;
  readonly instance: string;
  /** Which start of the instance's process was called. */
  readonly start: number;
  /** Key that it shows. */
  readonly key: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly end: CallEnd;
}

/** A call whose caller went away without an answer. */
export interface SeenLeft {
  readonly callId: string;
  readonly leftMs: number;
}

/** What a server left or an instance was gone for, and since when. */
export interface SeenDeparture {
  readonly id: string;
  /** When the store had accepted it, or the process had ended. */
  readonly atMs: number;
  /** When it came back; infinite: never. */
  readonly untilMs: number;
}

/** What the directory of an instance named. */
export interface SeenDirectory {
  readonly atMs: number;
  readonly hosts: readonly string[];
  /** Those of them to which calls of the caller may not be led. */
  readonly astray: readonly string[];
}

/** What a process held, as the system counts it. */
export interface SeenProcess {
  readonly instance: string;
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** A planned end of an instance, and whether anything else was wrong then. */
export interface SeenStop {
  readonly instance: string;
  readonly atMs: number;
  readonly isCalm: boolean;
}

/** A time in which an instance stood still or was away. */
export interface SeenPause {
  readonly instance: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** What a server said of itself in its answers, and nobody else of it. */
export type SeenWord =
  & {
    readonly server: string;
    readonly fromMs: number;
    readonly toMs: number;
  }
  & (
    /** That it leaves, or that it wants rest. */
    | { readonly kind: "leaving" | "rest" }
    /** That it takes so many calls a second from all instances together. */
    | { readonly kind: "limit"; readonly perSecond: number }
  );

/** A key that was taken away. */
export interface SeenKeyEnd {
  readonly key: string;
  /** When the store had accepted the configuration without it. */
  readonly atMs: number;
}

/** All that was seen from outside in one run. */
export interface Observation {
  readonly calls: readonly SeenCall[];
  readonly runs: readonly RecordedRun[];
  /** Calls of crowds. */
  readonly left: readonly SeenLeft[];
  readonly serverDepartures: readonly SeenDeparture[];
  readonly instanceDepartures: readonly SeenDeparture[];
  readonly directories: readonly SeenDirectory[];
  readonly processes: readonly SeenProcess[];
  readonly stops: readonly SeenStop[];
  /** Times at which an instance or a link was disturbed that the bounds excuse. */
  readonly disturbedMs: readonly {
    readonly fromMs: number;
    readonly toMs: number;
  }[];
  readonly pauses: readonly SeenPause[];
  readonly words: readonly SeenWord[];
  /** Calls that servers turned away as they asked for rest. */
  readonly refusals: readonly RecordedRefusal[];
  readonly keyEnds: readonly SeenKeyEnd[];
  /** Version of the last configuration. */
  readonly lastVersion: number;
  /** From when on everything must work again. */
  readonly calmFromMs: number;
}
