import { FleetView, LoadBoard, type MemberRecord } from "../fleet/mod.ts";
import {
  toBackendId,
  toFailureDomainId,
  toInstanceId,
  toRegionId,
} from "../ids/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";

/**
 * Returns the record of an instance that takes calls, in the first failure domain
 * of its region.
 *
 * @param name Its id, and what stands before the port of its address.
 * @param region Where it runs. Default: `north`.
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
 * Returns the view of an instance that has heard of no other.
 *
 * @param self Who it is. Default: `self`, in region `north`.
 * @param loads What its reports feed. Default: a board of its own.
 */
export function createFleet(
  self: MemberRecord = createMember("self"),
  loads = new LoadBoard(),
): FleetView {
  return new FleetView({ self, loads });
}

/**
 * Returns the entry of a warm server of service `app`, in the first failure domain
 * of region `north`.
 *
 * @param name Its id, and what stands before the port of its address.
 * @param more What differs.
 */
export function createServerEntry(
  name: string,
  more: Partial<RegisteredServer> = {},
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
    ...more,
  };
}
