import type { FleetView } from "../fleet/mod.ts";
import type { BackendId, InstanceId } from "../ids/mod.ts";
import { rankNames } from "../membership/mod.ts";
import type { ServerLimits } from "./server_limits.ts";
import { forgetOthers } from "./forget_others.ts";

/** Span in which a server that names a limit counts its calls, in milliseconds. */
const WINDOW_MS = 4_000;
/** Factor on what the limit allows in that span that such a server bears. */
const OVERSHOOT = 1.5;
/** Calls that it bears beside those. */
const SLACK_CALLS = 5;
/** Instances that may take themselves for sharers beside those that are. */
const UNKNOWN_SHARERS = 1;
/**
 * Calls a second that a server gets at least: one that takes none would never be heard to
 * take some again.
 */
const LEAST_PER_SECOND = 0.1;
/** When an instance that shares no limit looks again, in milliseconds. */
const NOT_SHARED_MS = 1_000;

/** What a gate decides from. */
export interface LimitGateParts {
  /** Who shares the limits, as this instance sees it. */
  readonly fleet: Pick<
    FleetView,
    "isSettled" | "listSharing" | "membershipVersion" | "self"
  >;
  readonly limits: ServerLimits;
}

/** Part of a limit that one instance uses. */
interface Share {
  readonly callsPerMs: number;
  /** Calls that it may send at once after a quiet time. */
  readonly mostCalls: number;
}

/** Calls that this instance may send to one server now. */
interface Bucket {
  /** What the share was computed for. */
  readonly perSecond: number;
  readonly membershipVersion: number;
  /** `undefined`: other instances send the calls. */
  readonly share: Share | undefined;
  /** Calls that it could send at that time. */
  readonly calls: number;
  readonly atMs: number;
}

/**
 * Lets calls through to servers that name a limit so that the sum over all instances
 * of the region stays inside it, however many they are. The first instances by
 * rendezvous rank share it; where a part for each would be less than a call in a span
 * that counts, they are few and the others send nothing. Who fell silent keeps its
 * share, since behind a cut it uses it.
 */
export class LimitGate {
  readonly #parts: LimitGateParts;
  readonly #buckets = new Map<BackendId, Bucket>();

  /** @param parts Members and limits. */
  constructor(parts: LimitGateParts) {
    this.#parts = parts;
  }

  /**
   * Whether a call may go to a server now, by its limit.
   *
   * @param server Of the own region.
   * @param nowMs Time now.
   */
  isOpen(server: BackendId, nowMs: number): boolean {
    return this.readOpensMs(server, nowMs) <= nowMs;
  }

  /** Returns when a call may go to a server, on the own clock; 0: it names no limit. */
  readOpensMs(server: BackendId, nowMs: number): number {
    const bucket = this.#fill(server, nowMs);
    if (bucket === undefined) return 0;
    const { calls, share } = bucket;
    const isSettled = this.#parts.fleet.isSettled(nowMs);
    if (share === undefined || !isSettled) return nowMs + NOT_SHARED_MS;
    return calls >= 1 ? nowMs : nowMs + (1 - calls) / share.callsPerMs;
  }

  /** Records a call to a server. */
  record(server: BackendId, nowMs: number): void {
    const bucket = this.#fill(server, nowMs);
    if (bucket === undefined) return;
    const calls = Math.max(0, bucket.calls - 1);
    this.#buckets.set(server, { ...bucket, calls });
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#buckets, servers);
  }

  /** Brings what may be sent to a server up to date; `undefined`: it names no limit. */
  #fill(server: BackendId, nowMs: number): Bucket | undefined {
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
    const calls = Math.min(share?.mostCalls ?? 1, before.calls + gained);
    const bucket = { perSecond, membershipVersion, share, calls, atMs: nowMs };
    this.#buckets.set(server, bucket);
    return bucket;
  }

  #computeShare(server: BackendId, perSecond: number): Share | undefined {
    const { fleet } = this.#parts;
    const members = fleet.listSharing(fleet.self.region);
    const limit = Math.max(LEAST_PER_SECOND, perSecond);
    const count = countSharers(limit, members.length);
    const isSharer = isFirst(server, members, count, fleet.self.id);
    return isSharer ? computeShare(limit, count) : undefined;
  }
}

function isFirst(
  server: BackendId,
  members: readonly InstanceId[],
  count: number,
  self: InstanceId,
): boolean {
  return rankNames(server, members).slice(0, count).includes(self);
}

/**
 * Returns the part of each sharer: what its limit allows at a steady rate, and as many
 * calls at once as the server still bears with one more that takes itself for a sharer.
 */
function computeShare(perSecond: number, sharers: number): Share {
  const windowS = WINDOW_MS / 1_000;
  const borne = OVERSHOOT * perSecond * windowS + SLACK_CALLS;
  const callsInWindow = borne / (sharers + UNKNOWN_SHARERS);
  const steadyCalls = Math.min(
    perSecond * windowS / sharers,
    callsInWindow - 1,
  );
  return {
    callsPerMs: steadyCalls / WINDOW_MS,
    mostCalls: callsInWindow - steadyCalls,
  };
}

/** Returns how many instances share a limit: as many as use the most of it together. */
function countSharers(perSecond: number, members: number): number {
  const computeUsed = (sharers: number) =>
    sharers * computeShare(perSecond, sharers).callsPerMs;
  const least = computeUsed(1);
  return Array.from({ length: members }, (_, at) => at + 1)
    .reduce(
      (best, sharers) =>
        computeUsed(sharers) >= best.used
          ? { sharers, used: computeUsed(sharers) }
          : best,
      { sharers: 1, used: least },
    ).sharers;
}
