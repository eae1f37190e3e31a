import type { ReportedEnds } from "../quarantine/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";

/** Where an instance is and how to reach it, as the platform lists it. */
export interface InstanceRecord {
  readonly id: InstanceId;
  readonly region: RegionId;
  readonly failureDomain: string;
  /** IP address and port for peers, such as `127.0.0.1:7001`. */
  readonly peerAddress: string;
  /** Base URL for callers, such as `http://127.0.0.1:7001`. */
  readonly callerUrl: string;
  readonly isLeaving: boolean;
}

/** What is believed of a member. */
export type MemberStatus =
  /** Listed by the platform, not yet heard. */
  | "listed"
  | "live"
  /** Not heard for a while; still counted as live. */
  | "suspect"
  | "leaving"
  | "dead";

/** One member of the own region. */
export interface Member {
  readonly record: InstanceRecord;
  status: MemberStatus;
  /** Grows with each start and each refuted rumour of death. */
  incarnation: number;
  sequence: number;
  /** When it was last heard, on the own clock. */
  heardMs: number;
  /** When it became suspect, on the own clock. */
  suspectMs: number;
  /** Sequence number of its configuration. */
  configuration: number;
}

/** What an instance hears about a third one. */
export interface Rumour {
  readonly id: InstanceId;
  readonly incarnation: number;
  readonly status: "suspect" | "leaving" | "dead";
}

/** Free capacity of one service in one region. */
export interface ServiceDigest {
  readonly service: string;
  /** Free sequences over all its engines. */
  readonly spare: number;
  /** Estimated time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/** What a region tells the others of itself. */
export interface RegionDigest {
  readonly region: RegionId;
  readonly author: InstanceId;
  readonly incarnation: number;
  readonly sequence: number;
  /** Lowest and highest configuration in force at its live instances. */
  readonly configuration: readonly [lowest: number, highest: number];
  readonly liveCount: number;
  /** Instances that take forwarded requests and digests. */
  readonly gateways: readonly InstanceId[];
  readonly services: readonly ServiceDigest[];
}

/** A heartbeat. */
export interface Heartbeat {
  readonly from: InstanceId;
  readonly region: RegionId;
  readonly incarnation: number;
  readonly sequence: number;
  readonly isLeaving: boolean;
  readonly configuration: number;
  readonly rumours: readonly Rumour[];
  readonly digests: readonly RegionDigest[];
  /** Calls under which servers ended. Default: none. */
  readonly ends?: readonly ReportedEnds[];
}
