import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { HostHomes } from "../http_routes/mod.ts";
import type { RegionId } from "../ids/mod.ts";

/** Most entries that one answer names. */
const MAX_ENTRIES = 64;

/** Who asks where to connect. */
export interface EntryRequest {
  /** Region of the caller. */
  readonly region: RegionId;
  /** Returns where the calls of the wanted host may be served. */
  readonly readHomes: () => HostHomes;
}

/**
 * Where the instances that an answer names are: in the caller's region, where its
 * data may be, at either but about to leave, in any region, or nowhere.
 */
export type EntryChoice = "near" | "home" | "leaving" | "elsewhere" | "none";

/** What a caller is told. */
export interface EntryAnswer {
  readonly choice: EntryChoice;
  /** Instances that it may connect to. */
  readonly entries: readonly MemberRecord[];
}

/**
 * Returns the instances that a caller may connect to: those of its region. If none
 * there takes calls, as when all of a region are restarted in turn, those of the
 * regions where its data may be, and if none does there either, those that have just
 * begun to leave: for a while they still take calls, and others may not serve them.
 * Those of other regions are named only if they can serve some of its calls.
 *
 * @param fleet Who runs where.
 * @param request Who asks.
 * @param nowMs Time now.
 */
export function pickEntries(
  fleet: FleetView,
  request: EntryRequest,
  nowMs: number,
): EntryAnswer {
  const listIn = (regions: readonly RegionId[]) =>
    regions.flatMap((region) => fleet.listReady(region, nowMs));
  const near = listIn([request.region]);
  if (near.length > 0) return createAnswer("near", near);
  const { isBound, regions } = request.readHomes();
  const home = listIn(regions);
  if (home.length > 0) return createAnswer("home", home);
  const leaving = [request.region, ...regions].flatMap((region) =>
    fleet.listLeaving(region, nowMs)
  );
  if (regions.length > 0 && leaving.length > 0) {
    return createAnswer("leaving", [...new Set(leaving)]);
  }
  const all = isBound ? [] : listIn(fleet.listRegions());
  return createAnswer(all.length > 0 ? "elsewhere" : "none", all);
}

function createAnswer(
  choice: EntryChoice,
  entries: readonly MemberRecord[],
): EntryAnswer {
  return { choice, entries: entries.slice(0, MAX_ENTRIES) };
}
