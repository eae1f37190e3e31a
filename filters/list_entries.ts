import type { RegionId } from "../ids/mod.ts";
import { type Membership, rankNames } from "../membership/mod.ts";

/** One entry that a caller may use. */
export interface Entry {
  readonly url: string;
  readonly region: string;
}

/** Entries in the order in which a caller should try them. */
export interface EntryList {
  readonly entries: readonly Entry[];
  /** How long the list may be used, in milliseconds. */
  readonly lifetime_ms: number;
}

/** How long a caller may use a list, in milliseconds. */
export const ENTRY_LIFETIME_MS = 5_000;
const FAR_ENTRIES_PER_REGION = 2;

/**
 * Returns the entries for a caller: those of this region first, in an order of
 * its own so that callers spread, then some of other allowed regions.
 *
 * @param membership Who is live.
 * @param caller Name that the order is made from.
 * @param options Regions that the caller may reach; default: all. Time now.
 */
export function listEntries(
  membership: Membership,
  caller: string,
  options: {
    readonly nowMs: number;
    readonly allowed?: ReadonlySet<RegionId> | undefined;
  },
): EntryList {
  const { self } = membership;
  const near = rankNames(caller, membership.liveIds)
    .map((id) => id === self.id ? self : membership.readRecord(id))
    .filter((record) => record !== undefined);
  const regions = [...new Set(membership.listed.map(({ region }) => region))]
    .filter((region) => region !== self.region)
    .filter((region) => options.allowed?.has(region) ?? true);
  const far = rankNames(caller, regions).flatMap((region) =>
    membership.readGateways(region, options.nowMs).slice(
      0,
      FAR_ENTRIES_PER_REGION,
    )
  );
  const entries = [...near, ...far].map(({ callerUrl, region }) => ({
    url: callerUrl,
    region,
  }));
  return { entries, lifetime_ms: ENTRY_LIFETIME_MS };
}
