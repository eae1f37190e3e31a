import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { RegionId } from "../ids/mod.ts";

/** Most entries that one answer names. */
const MAX_ENTRIES = 64;

/**
 * Returns the instances that a caller may connect to: those of its region, or, if
 * none there takes calls, those of the other regions.
 *
 * @param fleet Who runs where.
 * @param region Region of the caller.
 * @param nowMs Time now.
 */
export function pickEntries(
  fleet: FleetView,
  region: RegionId,
  nowMs: number,
): readonly MemberRecord[] {
  const near = fleet.listReady(region, nowMs);
  const entries = near.length > 0
    ? near
    : fleet.listRegions().flatMap((each) => fleet.listReady(each, nowMs));
  return entries.slice(0, MAX_ENTRIES);
}
