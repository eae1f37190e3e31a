import type { FleetView } from "../fleet/mod.ts";
import type { BackendId, InstanceId } from "../ids/mod.ts";
import { rankNames } from "../membership/mod.ts";
import type { ServerLimits } from "./server_limits.ts";
import { forgetOthers } from "./forget_others.ts";

/** Window in which a server that advertises a limit counts its calls, in milliseconds. */
const WINDOW_MS = 4_000;
/** Such a server tolerates up to this factor times the calls that its limit allows in the window. */
const TOLERATED_OVERSHOOT = 1.5;
/** Calls that it tolerates in addition to those, in one window. */
const SLACK_CALLS = 5;
/** Additional instances that may consider themselves designated senders, as views of the members differ. */
const UNKNOWN_SENDERS = 1;
/**
 * Minimum rate for a server, in calls a second. If a server whose limit is 0 got no call,
 * no answer could tell that the limit has risen.
 */
const MIN_CALLS_PER_SECOND = 0.1;
/** When an instance that is no designated sender checks again, in milliseconds. */
const RECHECK_MS = 1_000;

/** What a `LimitGate` is created from. */
export interface LimitGateParts {
  /** The instances that share the limits, as this instance sees them. */
  readonly fleet: Pick<
    FleetView,
    "isSettled" | "listInstancesSharingLimits" | "membershipVersion" | "self"
  >;
  readonly limits: ServerLimits;
}

/** The share that one instance has in a limit. */
interface Share {
  readonly callsPerMs: number;
  /** Maximum burst: calls that it may send at once after an idle time. */
  readonly maxBurst: number;
}

/** Token bucket with the calls that this instance may send to one server. */
interface Bucket {
  /** The limit and the version of the members that the share was computed for. */
  readonly perSecond: number;
  readonly membershipVersion: number;
  /** `undefined` where this instance is no designated sender. */
  readonly share: Share | undefined;
  /** Calls that were available at `atMs`. */
  readonly calls: number;
  readonly atMs: number;
}

/**
 * Admits calls to servers that advertise a rate limit, so that the sum over all
 * instances of the region stays within the limit, however many instances there are.
 *
 * The first instances by rendezvous rank are the designated senders and share the
 * limit. Where an equal share for each instance would be less than one call in a window,
 * there are few of them, and the other instances send nothing. An instance that has
 * become silent keeps its share, since it goes on using the share if it is only
 * partitioned.
 */
export class LimitGate {
  readonly #parts: LimitGateParts;
  readonly #buckets = new Map<BackendId, Bucket>();

  /** @param parts The members of the region, and the limits of servers. */
  constructor(parts: LimitGateParts) {
    this.#parts = parts;
  }

  /**
   * Returns whether the rate limit of a server allows a call now.
   *
   * @param server A server of the local region.
   * @param nowMs Time now.
   */
  isOpen(server: BackendId, nowMs: number): boolean {
    return this.readOpensAtMs(server, nowMs) <= nowMs;
  }

  /**
   * Returns when the limit of a server allows a call, on this instance's clock; 0 where it
   * advertises none.
   */
  readOpensAtMs(server: BackendId, nowMs: number): number {
    const bucket = this.#refill(server, nowMs);
    if (bucket === undefined) return 0;
    const { calls, share } = bucket;
    const isSettled = this.#parts.fleet.isSettled(nowMs);
    if (share === undefined || !isSettled) return nowMs + RECHECK_MS;
    return calls >= 1 ? nowMs : nowMs + (1 - calls) / share.callsPerMs;
  }

  /** Records a call that is sent to a server. */
  record(server: BackendId, nowMs: number): void {
    const bucket = this.#refill(server, nowMs);
    if (bucket === undefined) return;
    const calls = Math.max(0, bucket.calls - 1);
    this.#buckets.set(server, { ...bucket, calls });
  }

  /** Removes the buckets of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#buckets, servers);
  }

  /** Refills the bucket of a server up to now; `undefined` where it advertises no limit. */
  #refill(server: BackendId, nowMs: number): Bucket | undefined {
    const { fleet, limits } = this.#parts;
    const perSecond = limits.read(server);
    if (perSecond === undefined) {
      this.#buckets.delete(server);
      return undefined;
    }
    const { membershipVersion } = fleet;
    const known = this.#buckets.get(server);
    const isCurrent = known?.perSecond === perSecond &&
      known.membershipVersion === membershipVersion;
    const share = isCurrent
      ? known.share
      : this.#computeShare(server, perSecond);
    const before = known ?? { calls: 1, atMs: nowMs };
    const gained = (share?.callsPerMs ?? 0) * (nowMs - before.atMs);
    const calls = Math.min(share?.maxBurst ?? 1, before.calls + gained);
    const bucket = { perSecond, membershipVersion, share, calls, atMs: nowMs };
    this.#buckets.set(server, bucket);
    return bucket;
  }

  #computeShare(server: BackendId, perSecond: number): Share | undefined {
    const { fleet } = this.#parts;
    const members = fleet.listInstancesSharingLimits(fleet.self.region);
    const limit = Math.max(MIN_CALLS_PER_SECOND, perSecond);
    const count = countDesignatedSenders(limit, members.length);
    const isDesignated = isDesignatedSender(
      server,
      members,
      count,
      fleet.self.id,
    );
    return isDesignated ? computeShare(limit, count) : undefined;
  }
}

function isDesignatedSender(
  server: BackendId,
  members: readonly InstanceId[],
  count: number,
  self: InstanceId,
): boolean {
  return rankNames(server, members).slice(0, count).includes(self);
}

/**
 * Returns the share of each designated sender: a steady rate within the limit, and the
 * largest burst that the server tolerates even if one more instance considers itself
 * a designated sender.
 */
function computeShare(perSecond: number, senders: number): Share {
  const windowS = WINDOW_MS / 1_000;
  const toleratedCalls = TOLERATED_OVERSHOOT * perSecond * windowS +
    SLACK_CALLS;
  const callsInWindow = toleratedCalls / (senders + UNKNOWN_SENDERS);
  const steadyCalls = Math.min(
    perSecond * windowS / senders,
    callsInWindow - 1,
  );
  return {
    callsPerMs: steadyCalls / WINDOW_MS,
    maxBurst: callsInWindow - steadyCalls,
  };
}

/** Returns the number of designated senders with which most of a limit is used. */
function countDesignatedSenders(perSecond: number, members: number): number {
  const computeUsedRate = (senders: number) =>
    senders * computeShare(perSecond, senders).callsPerMs;
  const usedByOne = computeUsedRate(1);
  return Array.from({ length: members }, (_, at) => at + 1)
    .reduce(
      (best, senders) =>
        computeUsedRate(senders) >= best.used
          ? { senders, used: computeUsedRate(senders) }
          : best,
      { senders: 1, used: usedByOne },
    ).senders;
}
