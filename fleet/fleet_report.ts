import type { ReportedUse } from "../admission/mod.ts";
import type {
  BackendId,
  FailureDomainId,
  InstanceId,
  RegionId,
} from "../ids/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";
import type { StorePosition } from "../store/mod.ts";

/**
 * Whether an instance takes calls: not yet, all, none after a few seconds, or, while it
 * leaves and its region has no other, those that end before it does.
 */
export type MemberState = "starting" | "ready" | "leaving" | "lingering";

/** Whether an instance ends soon. */
export function isLeaving(state: MemberState): boolean {
  return state === "leaving" || state === "lingering";
}

/** What an instance says of itself. */
export interface MemberRecord {
  readonly id: InstanceId;
  /** Names one start of the process. */
  readonly incarnation: string;
  /** IP address and port on which other instances reach it. */
  readonly address: string;
  readonly region: RegionId;
  readonly failureDomain: FailureDomainId;
  readonly state: MemberState;
}

/** A member as a third instance knows it. */
export interface MemberNews {
  readonly member: MemberRecord;
  /** Time since it was heard from, in milliseconds. */
  readonly ageMs: number;
}

/** What calls in flight hold at one backend server. */
export interface ServerLoad {
  /** Calls in flight. */
  readonly calls: number;
  /** Prompt tokens that the server has yet to read. */
  readonly pendingTokens: number;
  /** Tokens of its memory that the calls hold or will hold. */
  readonly memoryTokens: number;
}

/** Load of one server, as a report carries it. */
export interface ReportedLoad extends ServerLoad {
  readonly server: BackendId;
}

/** A prompt part that a server has just been sent, or several that nobody shares. */
export interface ReportedPrefix {
  readonly server: BackendId;
  /** Identity of the part with all parts before it; `undefined`: no other call begins with it. */
  readonly part: string | undefined;
  readonly tokens: number;
}

/** A limit that a server has named, as a report carries it. */
export interface ReportedLimit {
  readonly server: BackendId;
  /** Calls a second from all instances together; `undefined`: it names none any more. */
  readonly perSecond: number | undefined;
  /** Time since the server said so, in milliseconds. */
  readonly ageMs: number;
}

/** How much of what lies in the store an instance knows. */
export interface KnownState {
  /** Version of the configuration in force; 0: none. */
  readonly configurationVersion: number;
  /** Up to where changes of the store were taken in. */
  readonly store: StorePosition;
  /** Whether the store has not answered this instance lately. */
  readonly isStoreLost: boolean;
}

/** What one instance tells others, several times a second. */
export interface FleetReport {
  readonly from: MemberRecord;
  /** Grows with each report of one incarnation. */
  readonly sequence: number;
  /**
   * Whose calls the loads count: the sender's, those of its region, told to another
   * one, or those of the region that both belong to.
   */
  readonly scope: "instance" | "region" | "summary";
  readonly known: KnownState;
  readonly loads: readonly ReportedLoad[];
  readonly prefixes: readonly ReportedPrefix[];
  readonly news: readonly MemberNews[];
  /** Calls under which servers ended. Default: none. */
  readonly ends?: readonly ReportedEnds[];
  /** Use of teams, by those whose loads are counted. Default: none. */
  readonly uses?: readonly ReportedUse[];
  /** Limits that servers of the sender's region have named. Default: none. */
  readonly limits?: readonly ReportedLimit[];
  /** Whether the sender asks for the members that the receiver knows. */
  readonly wantsNews: boolean;
  /** Whether the sender gets no summaries of its region, which is a large one. Default: no. */
  readonly wantsSummary?: boolean;
  /**
   * The receiver's own report that a summary counts, by its number. Default: 0,
   * none.
   */
  readonly echo?: number;
}

/** How reports are sent. */
export interface SendReportOptions {
  /** Echo for each address, in the same order. Default: none. */
  readonly echoes?: readonly number[];
  /**
   * Whether the report is compressed: one that goes to many members of a region.
   * Default: no, which instances of earlier versions understand.
   */
  readonly isCompressed?: boolean;
}

/** Sends a report to other instances, by their addresses; what is lost is made up for by the next. */
export type SendReport = (
  report: FleetReport,
  addresses: readonly string[],
  options?: SendReportOptions,
) => void;
