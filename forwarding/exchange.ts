import type { HttpRoute, HttpService } from "../http_routes/mod.ts";
import type { BackendId, InstanceId, RegionId } from "../ids/mod.ts";
import type { CallContent } from "../quarantine/mod.ts";
import type { HeldAnswer } from "./attempt_outcome.ts";
import type { CallAccess } from "./check_access.ts";
import type { CallFacts } from "./call_header_codec.ts";
import type { CallSink, OpaqueCall } from "./opaque_call.ts";
import type { KeyedPart } from "./prefix_cache_model.ts";
import type { RepeatReason } from "./repeated_send.ts";
import type { StreamProgress } from "./run_attempt.ts";

/** One call that is being served, with its state so far. */
export interface Exchange {
  readonly call: OpaqueCall;
  /** Identifies the call by its content, which is the same each time it is sent. */
  readonly content: CallContent;
  readonly facts: CallFacts;
  readonly access: CallAccess;
  readonly route: HttpRoute;
  readonly service: HttpService;
  readonly sink: CallSink;
  readonly promptParts: readonly KeyedPart[];
  /** Maximum gap between tokens in streams of the service, in milliseconds: the strictest of its routes. */
  readonly maxTokenGapMs: number | undefined;
  /** Deadline of the call, in milliseconds on this instance's clock. */
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly progress: StreamProgress;
  /** Servers that had the call before, also those that other instances sent it to. */
  readonly tried: Set<BackendId>;
  /**
   * Remote instances from which the call was withdrawn before they answered, with their regions.
   * Each may get it again for the servers that it sent it to, which is no further attempt.
   */
  readonly withdrawnInstances: Map<InstanceId, RegionId>;
  /**
   * Servers of this region from which the call was withdrawn before they answered. They may
   * get it again, which is no attempt at a further server.
   */
  readonly withdrawn: Set<BackendId>;
  /** The only servers that this instance may still send the call to. Default: any. */
  onlyServers: ReadonlySet<BackendId> | undefined;
  /** The only remote instances that may still get the call. Default: any. */
  onlyInstances: ReadonlySet<InstanceId> | undefined;
  /** Servers that this instance could not send the call to; another instance may reach them. */
  readonly unreached: Set<BackendId>;
  /** Order in the queue of waiting calls, kept over several waits. */
  readonly waitOrder: number;
  /** How often the call may still be sent. */
  attemptsLeft: number;
  /** Servers that this instance sent the call to, in order. */
  sentTo: readonly BackendId[];
  /** Number of sends so far, to servers and to other instances. */
  sends: number;
  /** How the send that ended last lets the call be sent once more. */
  repeatReason: RepeatReason | undefined;
  /** Whether the call is being handed over to a second destination while the first one has it. */
  isHandingOver: boolean;
  /** Whether another instance hands the call over to this one while its first destination has it. */
  readonly isSecondSend: boolean;
  /** Whether the call is quarantined, and sent once to learn whether it still crashes servers. */
  isTrial: boolean;
  /** Whether the call has not been sent before, also not by another instance. */
  isFirstSend: boolean;
  /** Whether it has been drawn which versions the first send of the call may use. */
  hasDrawnVersion: boolean;
  /** Whether a server may have run the call. */
  mayHaveRun: boolean;
  /** A failure of a server, passed to the caller if no later attempt succeeds. */
  heldAnswer: HeldAnswer | undefined;
  /** Remote regions that refused the call; it is not sent there again. */
  readonly avoidedRegions: Set<RegionId>;
  /** Remote instances that were unreachable, silent or gave no whole answer. */
  readonly avoidedInstances: Set<InstanceId>;
}

/**
 * Returns whether the state of its answer allows a call to be sent again: the caller has
 * no part of the answer, or has whole events, the last of which has an id to resume after.
 */
export function isResumableNow({ progress, route }: Exchange): boolean {
  if (!progress.hasBegun) return true;
  return route.routeClass === "stream" && route.isResumable &&
    progress.lastEventId !== undefined;
}

/** Returns whether a call may run a second time. */
export function isRetryable({ route }: Exchange): boolean {
  switch (route.routeClass) {
    case "idempotent":
      return true;
    case "non-idempotent":
      return false;
    case "stream":
      return route.isResumable;
  }
}

/** How an attempt handles the stream that its answer may be. */
export interface StreamHandling {
  /** Whether the call's route streams events, so that an answer without a type may be a stream. */
  readonly isStream: boolean;
  /** Whether only complete events of a stream are passed on, so that it can be resumed. */
  readonly framesEvents: boolean;
}

/** Returns how the streams of a call's route are handled. */
export function readStreamHandling(
  { route: { isResumable, routeClass } }: Pick<Exchange, "route">,
): StreamHandling {
  const isStream = routeClass === "stream";
  return { isStream, framesEvents: isStream && isResumable };
}

/** Returns whether another destination has a call, so that it must neither wait nor use a failing server. */
export function hasOtherDestination(
  { isHandingOver, isSecondSend }: Exchange,
): boolean {
  return isHandingOver || isSecondSend;
}

/** Returns whether a call may be sent to a second destination while the first one has it. */
export function canBeHandedOver(exchange: Exchange): boolean {
  return !hasOtherDestination(exchange) && exchange.attemptsLeft > 1 &&
    isRetryable(exchange) && isResumableNow(exchange);
}

/**
 * Lets the servers and remote instances from which a call was withdrawn get it again. Where
 * its attempts are used up, one of them replaces an attempt, and no other one may get the call.
 *
 * @param exchange The call.
 * @param neededAttempts Attempts that the next send needs.
 */
export function releaseWithdrawn(
  exchange: Exchange,
  neededAttempts: number,
): void {
  const { avoidedRegions, tried, withdrawn, withdrawnInstances } = exchange;
  if (withdrawn.size + withdrawnInstances.size === 0) return;
  withdrawn.forEach((server) => tried.delete(server));
  withdrawnInstances.forEach((region) => avoidedRegions.delete(region));
  if (exchange.attemptsLeft < neededAttempts) {
    exchange.attemptsLeft++;
    exchange.onlyServers = new Set(withdrawn);
    exchange.onlyInstances = new Set(withdrawnInstances.keys());
  }
  withdrawn.clear();
  withdrawnInstances.clear();
}

/** Begins a handover, and reserves one attempt for the destination that has the call. */
export function beginHandover(exchange: Exchange): void {
  exchange.isHandingOver = true;
  exchange.attemptsLeft--;
}

/**
 * Ends a handover, and releases the reserved attempt: the destination that has the call is
 * settled like any other.
 */
export function endHandover(exchange: Exchange): void {
  exchange.isHandingOver = false;
  exchange.attemptsLeft++;
}
