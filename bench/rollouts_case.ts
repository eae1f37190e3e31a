import { type InstanceId, type RegionId, toRegionId } from "../ids/mod.ts";
import type { CanaryTest, RolloutTracker } from "../rollouts/mod.ts";
import type { BadKind, Fault } from "./rollouts_servers.ts";

/** Regions of the simulated fleet. */
export const REGIONS = ["a", "b", "c"].map(toRegionId);

/** One simulated order. */
export interface RolloutCase {
  readonly seed: number;
  readonly kind: BadKind;
  readonly fault: Fault;
  readonly instances: number;
  readonly callsPerSecond: number;
  readonly serversPerRegion: number;
  /** Default: the test that the tracker uses. */
  readonly canaryTest?: CanaryTest;
}

/** What came of one order. */
export interface RolloutResult {
  readonly state: "completed" | "rolled-back" | "running";
  readonly reason: string;
  /** Time from the order to its end, in milliseconds. */
  readonly endMs: number;
  /** Sends to the new version while not completed, over the bound of the order. */
  readonly exposureUsed: number;
  /** Bad responses of the new version. */
  readonly badResponses: number;
  /** Time from the 50th bad response to the last send to the new version; 0 if none. */
  readonly rollbackMs: number;
  /** Calls in flight at old servers at `completed`. */
  readonly previousCalls: number;
}

/** One simulated instance. */
export interface SimInstance {
  readonly id: InstanceId;
  readonly region: RegionId;
  readonly rank: number;
  incarnation: number;
  tracker: RolloutTracker;
  heardMs: number;
  viewRevision: number;
}
