import type { decideRetry } from "../retry/mod.ts";
import type { decideRegion, pickEngine } from "../routing/mod.ts";
import type { Clock, Random } from "../clock/mod.ts";
import type { BackendClient } from "../engine/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Directory, InstanceList, PeerTransport } from "../peers/mod.ts";
import type { Store } from "../store/mod.ts";

/** What an instance needs from outside, and its settings: all that an adapter must provide. */
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
  /** Decisions that replace the gateway's own, for experiments. Default: none. */
  readonly policies?: Policies;
}

/** Decisions that an experiment can replace, to compare alternatives with them. */
export interface Policies {
  /** Picks the engine for a request. */
  readonly pickEngine?: typeof pickEngine;
  /** Decides between the home region and another one. */
  readonly decideRegion?: typeof decideRegion;
  /** Whether work is sent to other regions without credits. */
  readonly ignoresCredits?: boolean;
  /** Returns the number of busy sequences in a pool up to which batch work starts. */
  readonly computeThreshold?: (servers: number) => number;
  /** Whether all requests are admitted at once, without the queue. */
  readonly admitsAll?: boolean;
  /** Decides on retries. */
  readonly decideRetry?: typeof decideRetry;
  /** Whether engines are never ejected. */
  readonly neverEjects?: boolean;
}

/** Settings that the logic of an instance uses. */
export interface GatewayOptions {
  readonly operatorTokenHash: string;
  readonly peerToken: string;
  /** Calls per second that all instances together may make to the store. */
  readonly storeCallsPerSecond: number;
  readonly storeRegions: readonly string[];
  /** Loads of model weights per minute that the weight store accepts from all regions together. */
  readonly weightLoadsPerMinute: number;
  readonly journalShards: number;
  readonly journalRetentionMs: number;
  readonly journalGatherMs: number;
}
