import type { RegionId } from "../ids/mod.ts";
import { type Membership, rankNames } from "../membership/mod.ts";

/** Address of an instance that a caller may use. */
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
const REMOTE_ENTRIES_PER_REGION = 2;

/**
 * Returns the entries for a caller: first those of this region, in an order that
 * depends on the caller so that callers spread over them, then some of each other
 * allowed region.
 *
 * @param membership Instances that are live.
 * @param caller Name that determines the order.
 * @param options Current time in milliseconds, and the regions that the caller may
 * reach (default: all).
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
  const localRecords = rankNames(caller, membership.liveIds)
    .map((id) => id === self.id ? self : membership.readRecord(id))
    .filter((record) => record !== undefined);
  const regions = [
    ...new Set(membership.listedInstances.map(({ region }) => region)),
  ]
    .filter((region) => region !== self.region)
    .filter((region) => options.allowed?.has(region) ?? true);
  const remoteRecords = rankNames(caller, regions).flatMap((region) =>
    membership.readGateways(region, options.nowMs).slice(
      0,
      REMOTE_ENTRIES_PER_REGION,
    )
  );
  const entries = [...localRecords, ...remoteRecords].map((
    { callerUrl, region },
  ) => ({
    url: callerUrl,
    region,
  }));
  return { entries, lifetime_ms: ENTRY_LIFETIME_MS };
}
