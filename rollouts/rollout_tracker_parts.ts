import type { Clock, Random } from "../clock/mod.ts";
import type { CanaryTest } from "./canary_statistics.ts";
import type {
  RolloutBounds,
  RolloutEvent,
  RolloutFleet,
} from "./rollout_types.ts";

/** Collaborators of a tracker. */
export interface RolloutTrackerParts {
  readonly clock: Pick<Clock, "nowMs">;
  readonly random: Random;
  readonly bounds: RolloutBounds;
  readonly fleet: RolloutFleet;
  /**
   * Returns whether calls of a region can be served there only. An order then waits until
   * the region has servers of the destination. Default: in no region.
   */
  readonly needsOwnServers?: (service: string, region: string) => boolean;
  /** Statistical test of the canary. Default: `SEQUENTIAL_TEST`. */
  readonly canaryTest?: CanaryTest;
  /** Receives what is worth a log line. Default: nothing is told. */
  readonly onEvent?: (event: RolloutEvent) => void;
}
