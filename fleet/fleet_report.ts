import type { ReportedTeamUsage } from "../admission/mod.ts";
import type { MemberCapacity } from "../capacity/mod.ts";
import type {
  BackendId,
  FailureDomainId,
  InstanceId,
  RegionId,
} from "../ids/mod.ts";
import type { CrashReport } from "../quarantine/mod.ts";
import type { RolloutReport } from "../rollouts/mod.ts";
import type { StorePosition } from "../store/mod.ts";

/**
 * Whether an instance accepts calls. A starting one does not yet; a ready one accepts
 * all; a leaving one stops after a few seconds; a lingering one, which leaves a region
 * that has no other instance, accepts those that complete before it stops.
 */
export type MemberState = "starting" | "ready" | "leaving" | "lingering";

/** Returns whether an instance in this state shuts down soon. */
export function isLeaving(state: MemberState): boolean {
  return state === "leaving" || state === "lingering";
}

/** Identity, addresses and state that an instance reports of itself. */
export interface MemberRecord {
  readonly id: InstanceId;
  /** Identifies one start of the process. */
  readonly incarnation: string;
  /** IP address and port on which other instances reach it. */
  readonly address: string;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  readonly state: MemberState;
  /**
   * Services whose servers in the member's region all fail for it, so that it can serve no
   * calls of them itself. Default: none.
   */
  readonly unreachableServices?: readonly string[];
  /** What it can carry. Default: unknown, as in reports of earlier versions. */
  readonly capacity?: MemberCapacity;
}

/** A member as known to another instance, which passes it on. */
export interface MemberGossip {
  readonly member: MemberRecord;
  /** Time since it was last known to run, in milliseconds. */
  readonly ageMs: number;
}

/** Load of one backend server by calls in flight. */
export interface ServerLoad {
  /** Calls in flight. */
  readonly calls: number;
  /** Prompt tokens that the server has yet to process. */
  readonly pendingTokens: number;
  /** Memory that the calls occupy or will occupy, in tokens. */
  readonly memoryTokens: number;
}

/** Load of one server in a report. */
export interface ReportedLoad extends ServerLoad {
  readonly server: BackendId;
}

/**
 * A prompt part recently sent to a server, or the sum of several that no other call
 * begins with.
 */
export interface ReportedPrefix {
  readonly server: BackendId;
  /** Identity of the part and all parts before it; `undefined`: no other call begins with it. */
  readonly part: string | undefined;
  readonly tokens: number;
}

/** Rate limit advertised by a server, in a report. */
export interface ReportedLimit {
  readonly server: BackendId;
  /**
   * Calls per second of all instances together; `undefined`: the server no longer
   * advertises a limit.
   */
  readonly perSecond: number | undefined;
  /** Time since the server advertised it, in milliseconds. */
  readonly ageMs: number;
}

/** How up to date an instance is with the store. */
export interface KnownState {
  /** Version of the configuration in force; 0: none. */
  readonly configurationVersion: number;
  /** Position in the store up to which changes have been applied. */
  readonly store: StorePosition;
  /** Whether the store has not answered the instance recently. */
  readonly isStoreLost: boolean;
}

/** Report that an instance sends to others several times per second. */
export interface FleetReport {
  readonly from: MemberRecord;
  /** Sequence number, which grows with each report of an incarnation. */
  readonly sequence: number;
  /**
   * Whose calls the loads count: `instance`: the sender's; `region`: those of its
   * region, sent to another region; `summary`: those of its region, sent to members of
   * the same region.
   */
  readonly scope: "instance" | "region" | "summary";
  readonly known: KnownState;
  readonly loads: readonly ReportedLoad[];
  readonly prefixes: readonly ReportedPrefix[];
  readonly gossip: readonly MemberGossip[];
  /** Reports of server crashes during calls. Default: none. */
  readonly crashReports?: readonly CrashReport[];
  /** Usage of teams at the instances that `scope` names. Default: none. */
  readonly teamUsage?: readonly ReportedTeamUsage[];
  /** Limits that servers of the sender's region advertise. Default: none. */
  readonly limits?: readonly ReportedLimit[];
  /** Orders that run, as seen by the instances that `scope` names. Default: none. */
  readonly rollouts?: readonly RolloutReport[];
  /** Whether the sender requests the members that the receiver knows. */
  readonly wantsGossip: boolean;
  /** Whether the sender belongs to a large region and receives no summaries of it. Default: no. */
  readonly wantsSummary?: boolean;
  /**
   * Sequence number of the receiver's own report that a summary includes. Default:
   * 0, none.
   */
  readonly echo?: number;
}

/** Options for sending a report. */
export interface SendReportOptions {
  /** Echo for each address, in the order of the addresses. Default: none. */
  readonly echoes?: readonly number[];
  /**
   * Whether to compress the report, for one that goes to many members of a region.
   * Default: no, since instances of earlier versions read no compressed reports.
   */
  readonly isCompressed?: boolean;
}

/**
 * Sends a report to the instances at some addresses. A lost report is not sent again:
 * the next one replaces it.
 */
export type SendReport = (
  report: FleetReport,
  addresses: readonly string[],
  options?: SendReportOptions,
) => void;
