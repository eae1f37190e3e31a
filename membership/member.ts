import type { CrashReport } from "../quarantine/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";

/** Location and addresses of an instance, as listed by the platform. */
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

/** Status of a member, as seen by this instance. */
export type MemberStatus =
  /** Listed by the platform; no heartbeat received yet. */
  | "listed"
  | "live"
  /** Silent for longer than the timeout; still counted as live. */
  | "suspect"
  | "leaving"
  | "dead";

/** A member of the local region. */
export interface Member {
  readonly record: InstanceRecord;
  status: MemberStatus;
  /** Grows with each start and with each refuted suspicion or death notice. */
  incarnation: number;
  /** Number of its last heartbeat. */
  sequence: number;
  /** When its last heartbeat was received, in milliseconds on this instance's clock. */
  receivedMs: number;
  /** When it became suspect, in milliseconds on this instance's clock. */
  suspectSinceMs: number;
  /** Sequence number of the configuration that it has in force. */
  configuration: number;
}

/** Status of a member, as passed on by another one. */
export interface StatusGossip {
  readonly id: InstanceId;
  readonly incarnation: number;
  readonly status: "suspect" | "leaving" | "dead";
}

/** Free capacity of one service in one region. */
export interface ServiceDigest {
  readonly service: string;
  /** Number of free sequences over all engines of the service. */
  readonly spare: number;
  /** Estimated time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/** Summary of a region's state that it sends to other regions. */
export interface RegionDigest {
  readonly region: RegionId;
  /** Observer that created the digest. */
  readonly author: InstanceId;
  readonly incarnation: number;
  readonly sequence: number;
  /** Lowest and highest sequence number of the configurations in force at its live instances. */
  readonly configuration: readonly [lowest: number, highest: number];
  readonly liveCount: number;
  /** Instances that accept forwarded requests and digests. */
  readonly gateways: readonly InstanceId[];
  readonly services: readonly ServiceDigest[];
}

/** A periodic message of an instance to its peers, with gossip and region digests. */
export interface Heartbeat {
  readonly from: InstanceId;
  readonly region: RegionId;
  readonly incarnation: number;
  readonly sequence: number;
  readonly isLeaving: boolean;
  /** Sequence number of the configuration that the sender has in force. */
  readonly configuration: number;
  readonly gossip: readonly StatusGossip[];
  readonly digests: readonly RegionDigest[];
  /** Reports of server crashes during calls. Default: none. */
  readonly crashReports?: readonly CrashReport[];
}
