import type { ServerLinksState } from "../standin/server_links.ts";
import type { LinkMode } from "./link_proxy.ts";

/** Changes beside a standstill. */
export const STANDSTILL_CHANGES = [
  "nothing",
  /** Limits on callers' connections become tight for a moment. */
  "limits",
  /** The timeouts of all routes. */
  "timeouts",
  /** The routes of the work service lead to another one for a moment. */
  "move",
  /** The other service gets a share of the calls for a moment. */
  "weights",
  /** Routes are added for a moment. */
  "routes",
  /** The settings file changes, and the instances are not told. */
  "settings",
  /** The settings file changes, and the instances are told. */
  "reload",
  /** An instance is shut down gracefully and started again. */
  "stop",
] as const;

/** A fault that disturbs one or more components of the fleet. */
export type Fault =
  | {
    readonly kind: "instance";
    readonly what: "kill" | "pause" | "stop" | "reload";
    readonly index: number;
  }
  /** Many callers connect to a stalled instance, and disconnect before it resumes. */
  | { readonly kind: "crowd"; readonly index: number }
  /**
   * All instances of the home regions are shut down gracefully at once, and started again
   * later.
   */
  | { readonly kind: "homes" }
  /** Instances lose their links to all servers; callers, the store and instances reach them. */
  | {
    readonly kind: "cut-off";
    readonly indices: readonly number[];
    readonly state: Exclude<ServerLinksState, "open">;
  }
  /**
   * Callers repeatedly send calls that crash the server that runs them, to any instance: equal
   * ones, or ones with only a part of their prompts in common.
   */
  | {
    readonly kind: "ending-calls";
    readonly what: "ending" | "ending-part";
  }
  | {
    readonly kind: "link";
    /** Target of the link: from one instance to the store, or from all instances to a server. */
    readonly to: "store" | "server";
    readonly index: number;
    readonly mode: Exclude<LinkMode, "pass">;
  }
  | {
    readonly kind: "server";
    readonly what:
      | "crash"
      | "hang"
      | "fail"
      | "break-off"
      /** The server frames answers in other ways, and ends many of them early. */
      | "cut"
      /** The server sends a late refusal that names no call before each answer. */
      | "stray"
      | "drain"
      /** The server starts again with the same id and another address. */
      | "restart"
      /** Another writer overwrites the entry of the server. */
      | "overwrite"
      /** The server refuses calls and asks for a cool-down. */
      | "rest"
      /**
       * The server advertises that it is leaving in its answers alone; its entry does not
       * change.
       */
      | "say-leaving"
      /** The server advertises a limit of calls per second in its answers. */
      | "limit"
      /**
       * The server advertises in its answers how many rejections it survives. It has few
       * slots, and soon lets no call wait.
       */
      | "brittle";
    readonly index: number;
  }
  | {
    readonly kind: "store";
    readonly what:
      | "down"
      | "slow"
      | "forget"
      /** The store goes down and is restored from a backup taken when the fault began. */
      | "restore";
  }
  | { readonly kind: "operator"; readonly what: "configure" | "evacuate" }
  /**
   * Many servers of the work service stand still at once and go on, while something changes
   * that ends no call.
   */
  | {
    readonly kind: "standstill";
    /** Indexes of the servers. */
    readonly slots: readonly number[];
    readonly stillMs: number;
    readonly beside: StandstillChange;
    /** Time from the start of the standstill to the change; negative: the change is earlier. */
    readonly offsetMs: number;
    /** Index of the instance that is stopped, if that is the change. */
    readonly index: number;
  }
  /** The operator orders a rollout; some answers of a bad version are failures. */
  | {
    readonly kind: "rollout";
    readonly what: "good" | "bad";
    /** Whether the servers are plain ones or model engines, for the whole run. */
    readonly servers: "plain" | "engines";
  };

/** What a server does or suffers. */
export type ServerFaultKind = Extract<
  Fault,
  { readonly kind: "server" }
>["what"];

/** What changes beside a standstill. */
export type StandstillChange = typeof STANDSTILL_CHANGES[number];

/** A fault with its start time and duration. */
export interface PlannedFault {
  readonly fault: Fault;
  /** Time from the start of the traffic to the start of the fault, in milliseconds. */
  readonly atMs: number;
  /** Duration of the fault, in milliseconds. */
  readonly durationMs: number;
}

/** Returns a one-line description of a planned fault. */
export function formatFault({ fault, atMs, durationMs }: PlannedFault): string {
  const { kind, ...rest } = fault;
  return `${atMs} ms, for ${durationMs} ms: ${kind} ${
    Object.values(rest).join(" ")
  }`;
}
