import { FleetView, LoadTracker, type MemberRecord } from "../fleet/mod.ts";
import {
  toBackendId,
  toFailureDomainId,
  toInstanceId,
  toRegionId,
} from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/**
 * Returns the record of a ready instance in the first failure domain of its region.
 *
 * @param name Its id, and the host part of its address.
 * @param region Its region. Default: `north`.
 */
export function createMember(name: string, region = "north"): MemberRecord {
  return {
    id: toInstanceId(name),
    incarnation: "1",
    address: `${name}:1`,
    region: toRegionId(region),
    failureDomain: toFailureDomainId(`${region}-a`),
    state: "ready",
  };
}

/**
 * Returns the fleet view of an instance that knows no other instance.
 *
 * @param self Record of the instance. Default: `self`, in region `north`.
 * @param loads Tracker that is updated from received reports. Default: a new one.
 */
export function createFleetView(
  self: MemberRecord = createMember("self"),
  loads = new LoadTracker(),
): FleetView {
  return new FleetView({ self, loads });
}

/**
 * Returns the registry entry of a warm server of service `app`, in the first
 * failure domain of region `north`.
 *
 * @param name Its id, and the host part of its address.
 * @param overrides Fields that differ from this.
 */
export function createServerEntry(
  name: string,
  overrides: Partial<RegisteredServer> = {},
): RegisteredServer {
  return {
    id: toBackendId(name),
    name,
    startedMs: undefined,
    service: "app",
    address: `${name}:1`,
    failureDomain: toFailureDomainId("north-a"),
    region: toRegionId("north"),
    slots: 4,
    isDraining: false,
    coldForMs: 0,
    sequence: 0,
    ...overrides,
  };
}
