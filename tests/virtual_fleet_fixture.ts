import { afterEach } from "node:test";
import { VirtualFleet, type VirtualFleetParts } from "./virtual_fleet.ts";

/** Time in which the instances of a new fleet learn of each other, in milliseconds. */
const MEETING_MS = 2_000;

const FLEETS: VirtualFleet[] = [];
afterEach(() => FLEETS.splice(0).forEach((fleet) => fleet.stop()));

/** Starts a fleet whose instances know each other. It is stopped when the test has ended. */
export async function startVirtualFleet(
  parts: VirtualFleetParts,
): Promise<VirtualFleet> {
  const fleet = new VirtualFleet(parts);
  FLEETS.push(fleet);
  await fleet.clock.advance(MEETING_MS);
  return fleet;
}
