import { type Clock, waitFor } from "../clock/mod.ts";
import type {
  OperatorRollout,
  OperatorRolloutStatus,
  PlatformOperator,
} from "./platform_operator.ts";

/** Interval at which the operator reads the status of an order, in milliseconds. */
const STATUS_POLL_MS = 100;
/** Time from the status "rolled_back" until the new servers drain, in milliseconds. */
const DRAIN_DELAY_MS = 3_000;

/** Servers of a service, as the platform starts and stops them for an order. */
export interface RolloutServers {
  /** Starts and registers servers of the destination, beside the old ones. */
  startNew(): Promise<void>;
  /** Stops the servers of other versions at once, without draining. */
  stopOld(): Promise<void>;
  /** Lets the servers of the destination drain. */
  drainNew(): Promise<void>;
}

/** Collaborators of {@linkcode runRollout}. */
export interface RunRolloutParts {
  readonly operator: PlatformOperator;
  readonly clock: Clock;
  readonly servers: RolloutServers;
  /** Called when the store has accepted the order. Default: ignored. */
  readonly onOrdered?: () => void;
  /** Ends the wait for the status. */
  readonly signal: AbortSignal;
}

/** How an order ended. */
export interface RolloutEnd {
  /** `aborted`: no status came before the signal. */
  readonly state: "completed" | "rolled_back" | "aborted";
  /** Time from the order to its status, in milliseconds. */
  readonly afterMs: number;
}

/**
 * Plays the platform's part of a rollout: starts the new servers, orders the rollout, and
 * stops the old or drains the new servers, as the status says.
 *
 * @param order The order.
 * @param parts Operator, clock and servers.
 */
export async function runRollout(
  order: OperatorRollout,
  { clock, onOrdered, operator, servers, signal }: RunRolloutParts,
): Promise<RolloutEnd> {
  await servers.startNew();
  await operator.orderRollout(order);
  const orderedMs = clock.nowMs();
  onOrdered?.();
  let status: OperatorRolloutStatus | undefined;
  while (!signal.aborted && !isFinal(status, order)) {
    await waitFor(clock, STATUS_POLL_MS, signal);
    status = await operator.readRolloutStatus(order.service);
  }
  const afterMs = clock.nowMs() - orderedMs;
  switch (status?.state) {
    case "completed":
      await servers.stopOld();
      return { state: "completed", afterMs };
    case "rolled_back":
      await waitFor(clock, DRAIN_DELAY_MS, signal);
      await servers.drainNew();
      return { state: "rolled_back", afterMs };
    default:
      return { state: "aborted", afterMs };
  }
}

function isFinal(
  status: OperatorRolloutStatus | undefined,
  { destination }: OperatorRollout,
): boolean {
  return status !== undefined && status.destination === destination &&
    status.state !== "running";
}
