import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { SendDestination } from "./settle_attempt.ts";

/**
 * Delay of this instance's event loop, in milliseconds, from which it may end one of two sends
 * too late: model engines may have a call together for 300 ms, and must not for 400 ms.
 */
const MAX_LOOP_DELAY_MS = 75;

/** What shows whether sends can be ended in time. */
export interface WithdrawalSources {
  readonly fleet: Pick<FleetView, "listResponsive" | "self">;
  /** Returns how far the event loop of this instance was behind of late, in milliseconds. */
  readonly readRecentDelayMs: () => number;
}

/** Returns whether this instance keeps up, so that it ends sends in time. */
export function canEndInTime(
  { fleet, readRecentDelayMs }: WithdrawalSources,
): boolean {
  return readRecentDelayMs() < MAX_LOOP_DELAY_MS && !isBehind(fleet.self);
}

/**
 * Returns whether this instance, and the other one on the way to a remote server, keep up, as far
 * as is known: an instance that is behind ends the work of a server late.
 *
 * @param destination Where a call was sent, or would be sent.
 * @param nowMs Time now.
 * @param sources The delay of this instance, and what others report.
 */
export function canWithdrawInTime(
  destination: SendDestination,
  nowMs: number,
  sources: WithdrawalSources,
): boolean {
  if (!canEndInTime(sources)) return false;
  if (destination.kind === "local") return true;
  const { member: { id }, region } = destination;
  const member = sources.fleet.listResponsive(region, nowMs)
    .find((each) => each.id === id);
  return member !== undefined && !isBehind(member);
}

/** Returns whether an instance reports that its event loop or its link is behind. */
function isBehind({ capacity }: MemberRecord): boolean {
  return capacity !== undefined && capacity.currentCores < capacity.ratedCores;
}
