import type { Random } from "../clock/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import type { RegionDigest } from "./member.ts";

/** How long a digest counts as fresh, in milliseconds. */
export const DIGEST_FRESH_MS = 12_000;

interface HeldDigest {
  readonly digest: RegionDigest;
  readonly receivedMs: number;
}

/** A digest and its age. */
export interface AgedDigest {
  readonly digest: RegionDigest;
  /** Since it was received, in milliseconds. */
  readonly ageMs: number;
}

/** What regions have told of themselves, by each of their authors. */
export class RegionDigests {
  readonly #held = new Map<string, HeldDigest>();

  /** Keeps a digest, if it is newer than the last of its author. */
  apply(digest: RegionDigest, nowMs: number): void {
    const known = this.#held.get(toKey(digest))?.digest;
    const isNewer = known === undefined ||
      digest.incarnation > known.incarnation ||
      (digest.incarnation === known.incarnation &&
        digest.sequence > known.sequence);
    if (isNewer) this.#held.set(toKey(digest), { digest, receivedMs: nowMs });
  }

  /** Returns the newest digest of each region but one. */
  readNewest(except: RegionId, nowMs: number): readonly AgedDigest[] {
    const newest = new Map<RegionId, HeldDigest>();
    this.#held.forEach((held) => {
      const { region } = held.digest;
      const known = newest.get(region);
      if (region === except) return;
      if (known === undefined || held.receivedMs > known.receivedMs) {
        newest.set(region, held);
      }
    });
    return [...newest.values()].map(({ digest, receivedMs }) => ({
      digest,
      ageMs: nowMs - receivedMs,
    }));
  }

  /** Returns all gateways that a region has named. */
  listGateways(region: RegionId): readonly InstanceId[] {
    return [...this.#held.values()].filter(({ digest }) =>
      digest.region === region
    )
      .flatMap(({ digest }) => digest.gateways);
  }

  /** Returns fresh digests of other authors, in random order. */
  pickFresh(
    self: InstanceId,
    nowMs: number,
    random: Random,
  ): readonly RegionDigest[] {
    return [...this.#held.values()]
      .filter(({ digest, receivedMs }) =>
        digest.author !== self && nowMs - receivedMs < DIGEST_FRESH_MS
      )
      .map((held) => ({ held, order: random.nextFloat() }))
      .sort((a, b) => a.order - b.order)
      .map(({ held }) => held.digest);
  }
}

function toKey({ region, author }: RegionDigest): string {
  return `${region}/${author}`;
}
