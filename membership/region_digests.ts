import type { Random } from "../clock/mod.ts";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import type { RegionDigest } from "./member.ts";

/** How long a digest counts as fresh, in milliseconds. */
export const DIGEST_FRESH_MS = 12_000;

interface StoredDigest {
  readonly digest: RegionDigest;
  readonly receivedMs: number;
}

/** A region digest with its age. */
export interface AgedDigest {
  readonly digest: RegionDigest;
  /** Time since the digest was received, in milliseconds. */
  readonly ageMs: number;
}

/** The last digest of each region and author. */
export class RegionDigests {
  readonly #latest = new Map<string, StoredDigest>();

  /** Stores a digest if it is newer than the last one of its author. */
  apply(digest: RegionDigest, nowMs: number): void {
    const known = this.#latest.get(toKey(digest))?.digest;
    const isNewer = known === undefined ||
      digest.incarnation > known.incarnation ||
      (digest.incarnation === known.incarnation &&
        digest.sequence > known.sequence);
    if (isNewer) this.#latest.set(toKey(digest), { digest, receivedMs: nowMs });
  }

  /** Returns the newest digest of each region except the given one. */
  readNewest(except: RegionId, nowMs: number): readonly AgedDigest[] {
    const newest = new Map<RegionId, StoredDigest>();
    this.#latest.forEach((stored) => {
      const { region } = stored.digest;
      const known = newest.get(region);
      if (region === except) return;
      if (known === undefined || stored.receivedMs > known.receivedMs) {
        newest.set(region, stored);
      }
    });
    return [...newest.values()].map(({ digest, receivedMs }) => ({
      digest,
      ageMs: nowMs - receivedMs,
    }));
  }

  /** Returns the gateways that the digests of a region name. */
  listGateways(region: RegionId): readonly InstanceId[] {
    return [...this.#latest.values()].filter(({ digest }) =>
      digest.region === region
    )
      .flatMap(({ digest }) => digest.gateways);
  }

  /** Returns the fresh digests of authors other than this instance, in random order. */
  pickFresh(
    self: InstanceId,
    nowMs: number,
    random: Random,
  ): readonly RegionDigest[] {
    return [...this.#latest.values()]
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
