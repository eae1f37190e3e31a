import type { FleetView } from "../fleet/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import { rankNames } from "../membership/mod.ts";
import { forgetOthers } from "./forget_others.ts";

/** Window in which a server counts the calls that it rejects, in milliseconds. */
const WINDOW_MS = 1_000;
/**
 * Fraction of the tolerated rejections that is used. Views of the members differ, and the
 * windows of the server and of the instances are not aligned.
 */
const USED_FRACTION = 0.7;

/** What a {@linkcode RejectionGate} is created from. */
export interface RejectionGateParts {
  /** The instances that share the tolerated rejections, as this instance sees them. */
  readonly fleet: Pick<FleetView, "listInstancesSharingLimits" | "self">;
}

/** Load of a server, as this instance knows it. */
export interface SlotUsage {
  /** Calls of this instance in flight there. */
  readonly ownCalls: number;
  /** Known calls of all instances in flight there. */
  readonly calls: number;
  readonly slots: number;
}

/** What a server advertises in an answer. */
export interface AdvertisedTolerance {
  /** Rejections a second after which it fails; `undefined` where it names none. */
  readonly perSecond: number | undefined;
  /** When the call was sent, on this instance's clock. */
  readonly sentMs: number;
}

/** A send whose outcome decides whether it was a rejection. */
export interface GatedSend {
  /** Records that the server has accepted the call, or that the send ended in another way. */
  readonly release: () => void;
  /** Records that the server rejected the call. */
  readonly reject: (nowMs: number) => void;
}

interface Tolerance {
  perSecond: number;
  advertisedMs: number;
  /** Sends beyond this instance's slots that the server has neither accepted nor rejected. */
  pending: number;
  rejectedMs: readonly number[];
}

const NOT_GATED: GatedSend = { release: () => {}, reject: () => {} };

/**
 * Admits calls to servers that fail if they reject too many calls a second, so that the sum
 * of their rejections over all instances of the region stays below that.
 *
 * The instances divide the server's slots among them, as load reports are older than a burst
 * of calls. Beyond its own slots, an instance may have as many calls pending or rejected in a
 * second as its share of the tolerated rejections. Where a share is less than one, the first
 * instances by rendezvous rank have one each, and the others none.
 */
export class RejectionGate {
  readonly #parts: RejectionGateParts;
  readonly #byServer = new Map<BackendId, Tolerance>();

  /** @param parts The members of the region. */
  constructor(parts: RejectionGateParts) {
    this.#parts = parts;
  }

  /** Returns whether a server has advertised how many rejections it tolerates. */
  isBrittle(server: BackendId): boolean {
    return this.#byServer.has(server);
  }

  /**
   * Records what a server advertises in an answer.
   *
   * @returns Whether that has changed.
   */
  recordAdvertised(
    server: BackendId,
    { perSecond, sentMs }: AdvertisedTolerance,
    nowMs: number,
  ): boolean {
    const known = this.#byServer.get(server);
    if (perSecond === undefined) {
      // An answer to a call sent before the server advertised it is no evidence of its end.
      if (known === undefined || sentMs < known.advertisedMs) return false;
      return this.#byServer.delete(server);
    }
    if (known?.perSecond === perSecond) return false;
    const tolerance = known ??
      { perSecond, advertisedMs: nowMs, pending: 0, rejectedMs: [] };
    tolerance.perSecond = perSecond;
    tolerance.advertisedMs = nowMs;
    this.#byServer.set(server, tolerance);
    return true;
  }

  /**
   * Returns whether a call may be sent to a server now.
   *
   * @param server A server of the local region.
   * @param usage Its load.
   * @param nowMs Time now.
   */
  isOpen(server: BackendId, usage: SlotUsage, nowMs: number): boolean {
    const tolerance = this.#byServer.get(server);
    if (tolerance === undefined) return true;
    const rejected = countRecent(tolerance, nowMs);
    const share = this.#computeShare(
      server,
      USED_FRACTION * tolerance.perSecond,
    );
    if (rejected > 0 && rejected >= share) return false;
    if (this.#hasOwnSlot(server, usage)) return true;
    return usage.calls < usage.slots &&
      rejected + tolerance.pending + 1 <= share;
  }

  /** Records a call that is sent to a server, whose load does not include it yet. */
  begin(server: BackendId, usage: SlotUsage): GatedSend {
    const tolerance = this.#byServer.get(server);
    if (tolerance === undefined) return NOT_GATED;
    let isPending = !this.#hasOwnSlot(server, usage);
    if (isPending) tolerance.pending++;
    const release = () => {
      if (isPending) tolerance.pending--;
      isPending = false;
    };
    return {
      release,
      reject: (rejectedMs) => {
        release();
        tolerance.rejectedMs = [
          ...listRecent(tolerance, rejectedMs),
          rejectedMs,
        ];
      },
    };
  }

  /** Removes the state of all servers but the given ones. */
  keepOnly(servers: ReadonlySet<BackendId>): void {
    forgetOthers(this.#byServer, servers);
  }

  #hasOwnSlot(
    server: BackendId,
    { ownCalls, slots }: Pick<SlotUsage, "ownCalls" | "slots">,
  ): boolean {
    return ownCalls < this.#computeShare(server, slots);
  }

  /** Returns this instance's share of something that a server has for all instances of the region. */
  #computeShare(server: BackendId, total: number): number {
    const { fleet } = this.#parts;
    const members = fleet.listInstancesSharingLimits(fleet.self.region);
    const share = Math.floor(total / members.length);
    if (share >= 1) return share;
    const designated = rankNames(server, members)
      .slice(0, Math.max(1, Math.floor(total)));
    return designated.includes(fleet.self.id) ? 1 : 0;
  }
}

function listRecent(
  { rejectedMs }: Tolerance,
  nowMs: number,
): readonly number[] {
  return rejectedMs.filter((atMs) => nowMs - atMs < WINDOW_MS);
}

function countRecent(tolerance: Tolerance, nowMs: number): number {
  return listRecent(tolerance, nowMs).length;
}
