import type { Result } from "neverthrow";
import type { Clock } from "../clock/mod.ts";
import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { InstanceId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { StateCopy, StateSource } from "../state/mod.ts";
import type { StorePosition } from "../store/mod.ts";

/**
 * Minimum time for which peers have to be ahead before a relay reads their state, or any
 * instance that of a peer in another region, in milliseconds. The watch of the relay, or
 * the relay of the region, usually delivers the same state as quickly.
 */
const MIN_AHEAD_MS = 400;
/** Time without an answer from a peer after which a second one is read from, in milliseconds. */
const SECOND_READ_DELAY_MS = 400;
/** Time after a failed read during which other peers are preferred, in milliseconds. */
const FAILED_PEER_PENALTY_MS = 3_000;
/** Maximum number of peers read from at the same time. */
const MAX_CONCURRENT_READS = 2;

/**
 * Reads the state that the instance at an address knows beyond a position.
 *
 * @returns The copy, or the reason why it could not be read.
 */
export type ReadPeerState = (
  address: string,
  after: StorePosition,
) => Promise<Result<StateCopy, string>>;

/** Constructor arguments of {@linkcode PeerCatchUp}. */
export interface PeerCatchUpParts {
  readonly clock: Clock;
  /** View of the instances. */
  readonly fleet: FleetView;
  /** State to bring up to date. */
  readonly state: StateSource;
  readonly logger: Logger;
  /** Reads the state of a peer. */
  readonly readPeerState: ReadPeerState;
}

/**
 * Reads the state of peers that know a newer state of the store. Instances that don't
 * follow the store themselves get its changes this way; for relays it is the fallback while
 * the store doesn't answer them.
 */
export class PeerCatchUp {
  readonly #parts: PeerCatchUpParts;
  /** Time at which each pending read began, by peer. */
  readonly #readStartMs = new Map<InstanceId, number>();
  /** Time of the last failed read, by peer. */
  readonly #failedMs = new Map<InstanceId, number>();
  #aheadSinceMs: number | undefined;

  /** @param parts Ports, members and the state to bring up to date. */
  constructor(parts: PeerCatchUpParts) {
    this.#parts = parts;
  }

  /** Starts a read from a peer if one is ahead. */
  check(): void {
    const { clock, fleet, state } = this.#parts;
    const nowMs = clock.nowMs();
    const aheadPeers = fleet.listAhead(state.known, nowMs);
    if (aheadPeers.length === 0) {
      this.#aheadSinceMs = undefined;
      return;
    }
    this.#aheadSinceMs ??= nowMs;
    const isDelayed = nowMs - this.#aheadSinceMs < MIN_AHEAD_MS;
    const isRelay = fleet.isRelay(state.known, nowMs);
    const mayReadFrom = (peer: MemberRecord) =>
      !isDelayed || !isRelay && peer.region === fleet.self.region;
    const peer = this.#pickPeer(aheadPeers.filter(mayReadFrom), nowMs);
    if (peer !== undefined) void this.#read(peer);
  }

  /** Picks the next peer to read from: one at a time, and a second one if the first is slow to answer. */
  #pickPeer(
    peers: readonly MemberRecord[],
    nowMs: number,
  ): MemberRecord | undefined {
    const startsMs = [...this.#readStartMs.values()];
    const isWaiting = startsMs.some((startMs) =>
      nowMs - startMs < SECOND_READ_DELAY_MS
    );
    if (isWaiting || startsMs.length >= MAX_CONCURRENT_READS) return undefined;
    const idle = peers.filter(({ id }) => !this.#readStartMs.has(id));
    const preferred = idle.filter(({ id }) =>
      nowMs - (this.#failedMs.get(id) ?? -Infinity) > FAILED_PEER_PENALTY_MS
    );
    return preferred[0] ?? idle[0];
  }

  async #read({ address, id }: MemberRecord): Promise<void> {
    const { clock, logger, readPeerState, state } = this.#parts;
    this.#readStartMs.set(id, clock.nowMs());
    const copy = await readPeerState(address, state.known.store);
    this.#readStartMs.delete(id);
    if (copy.isErr()) {
      this.#failedMs.set(id, clock.nowMs());
      logger.warn("peer state not read", { peer: id, reason: copy.error });
      return;
    }
    this.#failedMs.delete(id);
    const isNewer = state.applyCopy(copy.value);
    logger.info("peer state read", {
      peer: id,
      afterRevision: copy.value.afterRevision,
      revision: copy.value.revision,
      isNewer,
    });
    // Peers may have learned of newer changes during the read.
    if (isNewer) this.check();
  }
}
