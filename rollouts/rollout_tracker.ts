import type { Clock, Random } from "../clock/mod.ts";
import type {
  RolloutBounds,
  RolloutEvent,
  RolloutFleet,
  RolloutOrder,
  RolloutRecord,
  RolloutReport,
  RolloutReportOrigin,
  RolloutReportScope,
  RolloutStatus,
  SendRecord,
  VersionAssignment,
  VersionedCall,
  VersionedSend,
  VersionedServer,
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
  /** Receives what is worth a log line. Default: nothing is told. */
  readonly onEvent?: (event: RolloutEvent) => void;
}

const ANY: VersionAssignment = { kind: "any" };

/** One instance's part in the rollouts of all services. */
export class RolloutTracker {
  readonly #parts: RolloutTrackerParts;

  /** @param parts Collaborators of the tracker. */
  constructor(parts: RolloutTrackerParts) {
    this.#parts = parts;
  }

  /**
   * Applies an operator's order, as read from the store.
   *
   * @param service Service of the order.
   * @param order The order; `undefined` if it was removed.
   */
  applyOrder(_service: string, _order: RolloutOrder | undefined): void {}

  /** Applies a record, as read from the store or after this instance wrote it. */
  applyRecord(_record: RolloutRecord): void {}

  /**
   * Records that the store holds no record of a service any more. What is remembered stays
   * valid and is planned to be written again.
   */
  forgetRecord(_service: string): void {}

  /** Replaces the registered servers of all services. */
  applyServers(_servers: readonly VersionedServer[]): void {}

  /** Returns which servers one send of a call may use. */
  assign(_call: VersionedCall): VersionAssignment {
    return ANY;
  }

  /**
   * Returns whether a send may go to a server now. It is asked again directly before
   * `beginSend`, without a wait in between: an order may have ended, or the budget may
   * be spent, since the assignment.
   */
  isAllowed(_assignment: VersionAssignment, _server: VersionedServer): boolean {
    return true;
  }

  /** Counts a send when it begins; its end is recorded by the result. */
  beginSend(_send: VersionedSend): SendRecord {
    return { end: () => {} };
  }

  /** Returns what to report in a scope; empty while no order runs. */
  createReports(_scope: RolloutReportScope): readonly RolloutReport[] {
    return [];
  }

  /**
   * Merges what another instance reports. Called for each of its reports, also without
   * rows: a live instance that reports no order has not stopped sending to old servers.
   */
  mergeReports(
    _from: RolloutReportOrigin,
    _reports: readonly RolloutReport[],
  ): void {}

  /**
   * Returns the records to write by compare-and-swap. Called periodically by relays, and
   * only while the store is followed.
   *
   * @param nowMs Current time, in milliseconds.
   * @param rank Rank of this relay: 0 writes at once, others wait for it.
   */
  planWrites(_nowMs: number, _rank: number): readonly RolloutRecord[] {
    return [];
  }

  /** Returns the statuses that operators should read, derived from the known records. */
  listStatuses(): readonly RolloutStatus[] {
    return [];
  }
}
