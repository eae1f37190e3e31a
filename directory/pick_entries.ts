import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { HostHomes } from "../http_routes/mod.ts";
import type { RegionId } from "../ids/mod.ts";

/** Most entries that one answer names. */
const MAX_ENTRIES = 64;

/** Who asks where to connect. */
export interface EntryRequest {
  /** Region of the caller. */
  readonly region: RegionId;
  /** Returns where callers of the wanted host may be led. */
  readonly findHomes: () => HostHomes;
}

/**
 * Where the instances that an answer names are: in the caller's region, where all of
 * its calls may be served, where nearly all may be served, at the first two but about
 * to leave, in any region, or nowhere.
 */
export type EntryChoice =
  | "near"
  | "home"
  | "usual"
  | "leaving"
  | "elsewhere"
  | "none";

/** What a caller is told. */
export interface EntryAnswer {
  readonly choice: EntryChoice;
  /** Instances that it may connect to. */
  readonly entries: readonly MemberRecord[];
  /** How long it may use the answer, in milliseconds. */
  readonly ttlMs: number;
}

/** How long callers use an answer, in milliseconds: gone instances are left soon. */
const TTL_MS = 2_000;
/**
 * How long callers use an answer that names instances that leave, in milliseconds.
 * These take every call for 2.5 s only, and whoever asks again may find one that is
 * back: while instances of small regions were restarted in turn (one day, one play
 * each), callers were served 0.938 of what they were owed, with the longer time 0.904.
 */
const LEAVING_TTL_MS = 500;

/**
 * Returns the instances that a caller may connect to: those of its region. If none
 * there takes calls, as when all of a region are restarted in turn, calls that are
 * bound to no region may go to any other.
 *
 * Bound calls must not even be sent elsewhere: where all of their homes were restarted
 * within seconds, up to 254 of 1,350 went to a region that is none of them. One answer
 * serves all calls of a host, so that a host with bound calls gets their homes, then
 * those of nearly all, then instances that leave and still take calls, then nobody,
 * though others could serve some of its calls.
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
  const listLeaving = (regions: readonly RegionId[]) =>
    [...new Set([request.region, ...regions])]
      .flatMap((region) => fleet.listLeaving(region, nowMs));
  const near = listIn([request.region]);
  if (near.length > 0) return pickFirst([{ choice: "near", entries: near }]);
  const homes = request.findHomes();
  switch (homes.kind) {
    case "unknown":
      return pickFirst([{ choice: "leaving", entries: listLeaving([]) }]);
    case "anywhere":
      return pickFirst([
        { choice: "elsewhere", entries: listIn(fleet.listRegions()) },
        { choice: "leaving", entries: listLeaving(fleet.listRegions()) },
      ]);
    case "bound":
      return pickFirst([
        { choice: "home", entries: listIn(homes.regions) },
        { choice: "usual", entries: listIn(homes.usual) },
        { choice: "leaving", entries: listLeaving(homes.regions) },
      ]);
  }
}

/** Returns the first answer that names an instance. */
function pickFirst(
  answers: readonly Pick<EntryAnswer, "choice" | "entries">[],
): EntryAnswer {
  const found = answers.find(({ entries }) => entries.length > 0);
  const { choice, entries } = found ?? { choice: "none", entries: [] };
  const ttlMs = choice === "leaving" ? LEAVING_TTL_MS : TTL_MS;
  return { choice, entries: entries.slice(0, MAX_ENTRIES), ttlMs };
}
