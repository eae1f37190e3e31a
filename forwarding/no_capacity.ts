import type { FleetView, LoadTracker } from "../fleet/mod.ts";
import type { NoDestination } from "./choose_destination.ts";
import type { LearnedServers } from "./learned_servers.ts";
import type { Refusal } from "./refusal.ts";
import { NO_CAPACITY_RETRY_MS } from "./settle_attempt.ts";
import type { UsableServers } from "./server_versions.ts";

/**
 * Returns whether it is futile to let a call wait that has no destination now. No server
 * will take the call in time where the first cool-down ends after its maximum wait, where
 * the rate limits are used up, or where each server had the call before.
 *
 * @param place Why the call has no destination.
 * @param nowMs Time now.
 * @param maxWaitMs How long the call may still wait, in milliseconds.
 */
export function isWaitFutile(
  place: NoDestination,
  nowMs: number,
  maxWaitMs: number,
): boolean {
  switch (place.kind) {
    case "wait":
    case "no-server":
      return maxWaitMs <= 0;
    case "cooling-down":
      return place.untilMs - nowMs > maxWaitMs;
    case "rate-limited":
    case "tried":
    case "unreachable":
      return true;
  }
}

/**
 * Returns the refusal of a call that no server can take now.
 *
 * @param service Name of the service that the call is for.
 * @param place Why the call has no destination.
 * @param nowMs Time now.
 */
export function toNoCapacityRefusal(
  service: string,
  place: NoDestination,
  nowMs: number,
): Refusal {
  const comeBackMs = "untilMs" in place ? place.untilMs - nowMs : 0;
  return {
    reason: place.kind === "unreachable" ? "unreachable" : "no-room",
    message: describeNoCapacity(service, place.kind),
    retryAfterMs: Math.max(NO_CAPACITY_RETRY_MS, comeBackMs),
  };
}

function describeNoCapacity(
  service: string,
  kind: NoDestination["kind"],
): string {
  switch (kind) {
    case "wait":
      return `Every server of "${service}" is full`;
    case "no-server":
      return `No server of "${service}" may take the call`;
    case "cooling-down":
      return `Every server of "${service}" has asked for rest`;
    case "rate-limited":
      return `The limits of the servers of "${service}" are used up`;
    case "tried":
      return `Every server of "${service}" had the call`;
    case "unreachable":
      return `No server of "${service}" can be reached`;
  }
}

/** What the state of servers is described from. */
export interface ServerStateSources {
  readonly fleet: Pick<FleetView, "self">;
  readonly loads: LoadTracker;
  /** Servers that any call may be sent to. */
  readonly registry: UsableServers;
  readonly learned: Pick<LearnedServers, "health" | "limits">;
}

/**
 * Returns a description of the load, the cool-down and the rate limit of each server of the
 * local region, for the log: it shows why the server has no capacity. Times are in
 * milliseconds from now.
 *
 * @param service Name of the service whose servers are described.
 * @param nowMs Time now.
 * @param known The instance, and the servers with their loads and what was learned of them.
 */
export function describeServers(
  service: string,
  nowMs: number,
  { fleet, learned: { health, limits }, loads, registry }: ServerStateSources,
): string {
  const leftMs = (untilMs: number) => Math.max(0, Math.round(untilMs - nowMs));
  return registry.listUsable(service, fleet.self.region)
    .map(({ entry: { id }, coldUntilMs }) => {
      const { calls, memoryTokens: memory, pendingTokens } = loads.readTotal(
        id,
      );
      const cooldownMs = leftMs(health.readCooldownUntilMs(id));
      return `${id} calls=${calls} pending=${pendingTokens}` +
        ` memory=${memory} cold=${leftMs(coldUntilMs)} cooldown=${cooldownMs}` +
        ` limit=${limits.read(id) ?? "none"}`;
    }).join("; ");
}
