import type { Result } from "neverthrow";
import type { Clock } from "../clock/mod.ts";
import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { InstanceId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { StateCopy, StateSource } from "../state/mod.ts";
import type { StorePosition } from "../store/mod.ts";

/**
 * How long a peer must be ahead before its state is read, in milliseconds, by an
 * instance that follows the store itself, or where the peer is in another region:
 * the own watch, or the relay of the region, is most often as quick.
 */
const AHEAD_PATIENCE_MS = 400;
/** Time after which a second peer is asked beside one that stays silent, in milliseconds. */
const SECOND_PEER_MS = 400;
/** How long a peer that did not answer is asked last, in milliseconds. */
const FAILED_PEER_MS = 3_000;
/** Peers that are asked at the same time. */
const MOST_ASKED = 2;

/**
 * Reads what the instance at an address knows beyond a position.
 *
 * @returns The copy, or why there is none.
 */
export type ReadPeerState = (
  address: string,
  after: StorePosition,
) => Promise<Result<StateCopy, string>>;

/** What catching up needs. */
export interface PeerCatchUpParts {
  readonly clock: Clock;
  readonly fleet: FleetView;
  readonly state: StateSource;
  readonly logger: Logger;
  readonly readPeerState: ReadPeerState;
}

/**
 * Reads the state of peers that know more of the store. For the instances that
 * do not follow the store themselves this is the usual way; for the others it
 * stands in while the store does not answer them.
 */
export class PeerCatchUp {
  readonly #parts: PeerCatchUpParts;
  /** When each peer that has not answered yet was asked. */
  readonly #askedMs = new Map<InstanceId, number>();
  readonly #failedMs = new Map<InstanceId, number>();
  #aheadSinceMs: number | undefined;

  /** @param parts Members, and the state to bring up to date. */
  constructor(parts: PeerCatchUpParts) {
    this.#parts = parts;
  }

  /** Reads from a peer if one is ahead. */
  check(): void {
    const { clock, fleet, state } = this.#parts;
    const nowMs = clock.nowMs();
    const ahead = fleet.listAhead(state.known, nowMs);
    if (ahead.length === 0) {
      this.#aheadSinceMs = undefined;
      return;
    }
    this.#aheadSinceMs ??= nowMs;
    const isPatient = nowMs - this.#aheadSinceMs < AHEAD_PATIENCE_MS;
    const isRelay = fleet.isRelay(state.known, nowMs);
    const mayAsk = (peer: MemberRecord) =>
      !isPatient || !isRelay && peer.region === fleet.self.region;
    const peer = this.#pickPeer(ahead.filter(mayAsk), nowMs);
    if (peer !== undefined) void this.#read(peer);
  }

  /** Picks who is asked next: one at a time, another one beside it if it is silent. */
  #pickPeer(
    peers: readonly MemberRecord[],
    nowMs: number,
  ): MemberRecord | undefined {
    const askedMs = [...this.#askedMs.values()];
    const isWaiting = askedMs.some((atMs) => nowMs - atMs < SECOND_PEER_MS);
    if (isWaiting || askedMs.length >= MOST_ASKED) return undefined;
    const free = peers.filter(({ id }) => !this.#askedMs.has(id));
    const answering = free.filter(({ id }) =>
      nowMs - (this.#failedMs.get(id) ?? -Infinity) > FAILED_PEER_MS
    );
    return answering[0] ?? free[0];
  }

  async #read({ address, id }: MemberRecord): Promise<void> {
    const { clock, logger, readPeerState, state } = this.#parts;
    this.#askedMs.set(id, clock.nowMs());
    const copy = await readPeerState(address, state.known.store);
    this.#askedMs.delete(id);
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
    // More may have come meanwhile.
    if (isNewer) this.check();
  }
}
