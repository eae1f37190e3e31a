import type { BackendCall } from "../engine/mod.ts";
import {
  toAttemptId,
  toBackendId,
  toFailureDomainId,
  toRegionId,
} from "../ids/mod.ts";
import type { BackendServer } from "../resources/mod.ts";

/** Returns the resource of a backend server at an IP address and port. */
export function createBackendServer(address: string): BackendServer {
  return {
    id: toBackendId("s1"),
    service: "app",
    region: toRegionId("north"),
    failureDomain: toFailureDomainId("north-a"),
    url: `http://${address}`,
    isLeaving: false,
    slots: 1,
    pricePerSecond: 0,
    checksFencing: false,
  };
}

/** Returns a call to such a server that is read whole. */
export function createBackendCall(address: string): BackendCall {
  return {
    server: createBackendServer(address),
    attempt: toAttemptId("a1"),
    method: "GET",
    path: "/x",
    headers: {},
    body: undefined,
    isStream: false,
  };
}
