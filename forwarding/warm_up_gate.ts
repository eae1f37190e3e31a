import type { FleetView } from "../fleet/mod.ts";
import type { BackendId, InstanceId } from "../ids/mod.ts";
import { rankNames } from "../membership/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** What a cold server bears in any second, from all instances together. */
export interface WarmUpBounds {
  /** Factor on the calls a second that its service declares. */
  readonly overshoot: number;
  /** Calls beside those. */
  readonly slack: number;
}

/**
 * Part of the declared rate that is used. The rest of the bound is for sharers
 * whose calls fall into the same instant, and for views that differ.
 */
const USED_PART = 0.8;
/**
 * Instances that may take themselves for sharers beside those that are: one
 * joins or is forgotten while the others do not know yet. Rendezvous ranks make
 * one change of the members change one sharer at the most.
 */
const UNKNOWN_SHARERS = 1;

/** What a gate decides from. */
export interface WarmUpGateParts {
  /** Who shares the bound, as this instance sees it. */
  readonly fleet: Pick<
    FleetView,
    "isSettled" | "listSharing" | "membershipVersion" | "self"
  >;
  readonly bounds: WarmUpBounds;
}

interface Share {
  readonly membershipVersion: number;
  /** Time between own calls, in milliseconds; `undefined`: others send them. */
  readonly pauseMs: number | undefined;
}

/**
 * Lets calls through to cold servers so that the sum over all instances stays
 * inside the bound, however many they are.
 *
 * A part of the bound for each instance would fall below one call a second in a
 * large region. So a cold server has a few sharers, the first instances of its
 * region by rendezvous rank; each spaces its calls evenly, and the others send it
 * nothing. What that guards against, in the load that the test plays: 20
 * instances with an equal part each send 20 calls in a second where 6.6 are borne.
 */
export class WarmUpGate {
  readonly #parts: WarmUpGateParts;
  readonly #shares = new Map<BackendId, Share>();
  readonly #nextMs = new Map<BackendId, number>();

  /** @param parts Members and bounds. */
  constructor(parts: WarmUpGateParts) {
    this.#parts = parts;
  }

  /**
   * Whether a call may go to a cold server now.
   *
   * @param server Which.
   * @param callsPerSecond Rate that its service declares.
   * @param nowMs Time now.
   */
  isOpen(server: BackendId, callsPerSecond: number, nowMs: number): boolean {
    if (!this.#parts.fleet.isSettled(nowMs)) return false;
    const { pauseMs } = this.#readShare(server, callsPerSecond);
    return pauseMs !== undefined && nowMs >= (this.#nextMs.get(server) ?? 0);
  }

  /**
   * Records a call to a cold server.
   *
   * @param server Which.
   * @param callsPerSecond Rate that its service declares.
   * @param nowMs Time now.
   */
  record(server: BackendId, callsPerSecond: number, nowMs: number): void {
    const { pauseMs } = this.#readShare(server, callsPerSecond);
    this.#nextMs.set(server, nowMs + (pauseMs ?? 0));
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#shares, servers);
    forgetOthers(this.#nextMs, servers);
  }

  #readShare(server: BackendId, callsPerSecond: number): Share {
    const { bounds, fleet } = this.#parts;
    const { membershipVersion, self } = fleet;
    const known = this.#shares.get(server);
    if (known?.membershipVersion === membershipVersion) return known;
    const pauseMs = computePauseMs({
      server,
      callsPerSecond,
      bounds,
      self: self.id,
      members: fleet.listSharing(self.region),
    });
    const share = { membershipVersion, pauseMs };
    this.#shares.set(server, share);
    return share;
  }
}

function computePauseMs({ server, callsPerSecond, bounds, self, members }: {
  readonly server: BackendId;
  readonly callsPerSecond: number;
  readonly bounds: WarmUpBounds;
  readonly self: InstanceId;
  readonly members: readonly InstanceId[];
}): number | undefined {
  const count = Math.min(
    members.length,
    countSharers(callsPerSecond, bounds),
  );
  const sharers = rankNames(server, members).slice(0, count);
  if (!sharers.includes(self)) return undefined;
  return 1_000 * count / (USED_PART * callsPerSecond);
}

/**
 * Returns how many instances may share a cold server: the most whose evenly
 * spaced calls stay inside the bound, with one more that takes itself for one.
 * Any second holds the share of each and one call more.
 */
function countSharers(
  callsPerSecond: number,
  { overshoot, slack }: WarmUpBounds,
): number {
  const bound = overshoot * callsPerSecond + slack;
  const countCalls = (sharers: number) =>
    (sharers + UNKNOWN_SHARERS) *
    (USED_PART * callsPerSecond / sharers + 1);
  let sharers = 1;
  while (countCalls(sharers + 1) <= bound) sharers++;
  return sharers;
}
