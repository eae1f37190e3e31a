import type { FleetView } from "../fleet/mod.ts";
import type { BackendId, InstanceId } from "../ids/mod.ts";
import { rankNames } from "../membership/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Number of calls that a cold server tolerates in any second, from all instances together. */
export interface WarmUpBounds {
  /** Factor on the warm-up rate that its service declares, in calls a second. */
  readonly overshoot: number;
  /** Calls in addition to those. */
  readonly slack: number;
}

/**
 * Fraction of the declared rate that is used. The rest of the bound allows for
 * designated senders that send at the same moment, and for differing views of the
 * members.
 */
const USED_FRACTION = 0.8;
/**
 * Additional instances that may consider themselves designated senders: one may have
 * joined or been removed while others don't know of it yet. With rendezvous ranks, one
 * change of the members changes at most one designated sender.
 */
const UNKNOWN_SENDERS = 1;

/** What a `WarmUpGate` is created from. */
export interface WarmUpGateParts {
  /** The instances that share the bound, as this instance sees them. */
  readonly fleet: Pick<
    FleetView,
    "isSettled" | "listInstancesSharingLimits" | "membershipVersion" | "self"
  >;
  readonly bounds: WarmUpBounds;
}

interface Share {
  /** The rate and the version of the members that the share was computed for. */
  readonly callsPerSecond: number;
  readonly membershipVersion: number;
  /** Interval between own calls, in milliseconds; `undefined` where this instance is no designated sender. */
  readonly intervalMs: number | undefined;
}

/**
 * Admits calls to cold servers, so that the sum over all instances stays within the
 * bound, however many instances there are.
 *
 * In a large region an equal share for each instance would be less than one call a
 * second. A cold server therefore has a few designated senders, the first instances of
 * its region by rendezvous rank. Each of them spaces its calls evenly, and the other
 * instances send nothing. Without this, in the load that the test plays, 20 instances
 * with equal shares send 20 calls in a second where the server tolerates 6.6.
 */
export class WarmUpGate {
  readonly #parts: WarmUpGateParts;
  readonly #shares = new Map<BackendId, Share>();
  readonly #nextMs = new Map<BackendId, number>();

  /** @param parts The members of the region, and the bound for cold servers. */
  constructor(parts: WarmUpGateParts) {
    this.#parts = parts;
  }

  /**
   * Returns whether a call may be sent to a cold server now.
   *
   * @param server The server.
   * @param callsPerSecond Rate that its service declares.
   * @param nowMs Time now.
   */
  isOpen(server: BackendId, callsPerSecond: number, nowMs: number): boolean {
    if (!this.#parts.fleet.isSettled(nowMs)) return false;
    const { intervalMs } = this.#readShare(server, callsPerSecond);
    return intervalMs !== undefined && nowMs >= (this.#nextMs.get(server) ?? 0);
  }

  /**
   * Records a call that is sent to a cold server.
   *
   * @param server The server.
   * @param callsPerSecond Rate that its service declares.
   * @param nowMs Time now.
   */
  record(server: BackendId, callsPerSecond: number, nowMs: number): void {
    const { intervalMs } = this.#readShare(server, callsPerSecond);
    this.#nextMs.set(server, nowMs + (intervalMs ?? 0));
  }

  /** Removes the state of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#shares, servers);
    forgetOthers(this.#nextMs, servers);
  }

  #readShare(server: BackendId, callsPerSecond: number): Share {
    const { bounds, fleet } = this.#parts;
    const { membershipVersion, self } = fleet;
    const known = this.#shares.get(server);
    const isCurrent = known?.membershipVersion === membershipVersion &&
      known.callsPerSecond === callsPerSecond;
    if (isCurrent) return known;
    const intervalMs = computeIntervalMs({
      server,
      callsPerSecond,
      bounds,
      self: self.id,
      members: fleet.listInstancesSharingLimits(self.region),
    });
    const share = { callsPerSecond, membershipVersion, intervalMs };
    this.#shares.set(server, share);
    return share;
  }
}

function computeIntervalMs({ server, callsPerSecond, bounds, self, members }: {
  readonly server: BackendId;
  readonly callsPerSecond: number;
  readonly bounds: WarmUpBounds;
  readonly self: InstanceId;
  readonly members: readonly InstanceId[];
}): number | undefined {
  const count = Math.min(
    members.length,
    countDesignatedSenders(callsPerSecond, bounds),
  );
  const senders = rankNames(server, members).slice(0, count);
  if (!senders.includes(self)) return undefined;
  return 1_000 * count / (USED_FRACTION * callsPerSecond);
}

/**
 * Returns the maximum number of designated senders whose evenly spaced calls stay within
 * the bound, even if one more instance considers itself one. In any second, each sends
 * at most its share and one call more.
 */
function countDesignatedSenders(
  callsPerSecond: number,
  { overshoot, slack }: WarmUpBounds,
): number {
  const bound = overshoot * callsPerSecond + slack;
  const countCalls = (senders: number) =>
    (senders + UNKNOWN_SENDERS) *
    (USED_FRACTION * callsPerSecond / senders + 1);
  let senders = 1;
  while (countCalls(senders + 1) <= bound) senders++;
  return senders;
}
