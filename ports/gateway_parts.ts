import type { decideRetry } from "../retry/mod.ts";
import type { decideRegion, pickEngine } from "../routing/mod.ts";
import type { Clock, Random } from "../clock/mod.ts";
import type { BackendClient } from "../engine/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Directory, InstanceList, PeerTransport } from "../peers/mod.ts";
import type { Store } from "../store/mod.ts";

/** Everything outside of a daemon, and its settings: all that an adapter must bring. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Store;
  readonly instances: InstanceList;
  readonly directory: Directory;
  readonly backend: BackendClient;
  readonly peers: PeerTransport;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly self: InstanceRecord;
  readonly options: GatewayOptions;
  /** Decisions to use in place of the product's own, for experiments. Default: none. */
  readonly policies?: Policies;
}

/** Decisions that an experiment can replace, to measure others beside them. */
export interface Policies {
  /** Picks an engine. */
  readonly pickEngine?: typeof pickEngine;
  /** Decides between home and another region. */
  readonly decideRegion?: typeof decideRegion;
  /** Sends work away without credits. */
  readonly ignoresCredits?: boolean;
  /** Returns the busy sequences of a pool up to which batch work starts. */
  readonly computeThreshold?: (servers: number) => number;
  /** Lets everything in at once, in place of the queue. */
  readonly admitsAll?: boolean;
  /** Decides on retries. */
  readonly decideRetry?: typeof decideRetry;
  /** Never ejects an engine. */
  readonly neverEjects?: boolean;
}

/** Settings that the daemon's logic uses. */
export interface GatewayOptions {
  readonly operatorTokenHash: string;
  readonly peerToken: string;
  /** Calls a second that all daemons together may make to the store. */
  readonly storeCallsPerSecond: number;
  readonly storeRegions: readonly string[];
  /** Loads of weights a minute that the weight store takes from all regions together. */
  readonly weightLoadsPerMinute: number;
  readonly journalShards: number;
  readonly journalRetentionMs: number;
  readonly journalGatherMs: number;
}
