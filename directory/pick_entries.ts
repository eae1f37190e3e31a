import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import type { HostHomes } from "../http_routes/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import { selectByCapacity } from "./select_by_capacity.ts";

/** Maximum number of entries in one answer. */
const MAX_ENTRIES = 64;

/** Who asks where to connect. */
export interface EntryRequest {
  /** Region of the caller. */
  readonly region: RegionId;
  /** Returns the regions to which callers of the requested host may be directed. */
  readonly findHomes: () => HostHomes;
  /** Returns whether an instance reaches no server of its region. Default: all reach some. */
  readonly isCutOff?: (member: MemberRecord) => boolean;
  /** IP address of the caller. Default: unknown, and answers do not depend on capacities. */
  readonly caller?: string;
}

/**
 * Which instances an answer names:
 *
 * - `near`: ready instances of the caller's region.
 * - `home`: ready instances of regions that may serve all calls of the host.
 * - `usual`: ready instances of regions that may serve nearly all calls of the host.
 * - `leaving`: instances in graceful shutdown that still accept calls, of the caller's
 *   region and of regions that may serve all calls of the host.
 * - `elsewhere`: ready instances of any region.
 * - `none`: no instance.
 */
export type EntryChoice =
  | "near"
  | "home"
  | "usual"
  | "leaving"
  | "elsewhere"
  | "none";

/** The directory's answer to a caller. */
export interface EntryAnswer {
  readonly choice: EntryChoice;
  /** Instances that the caller may connect to. */
  readonly entries: readonly MemberRecord[];
  /** How long the caller may use the answer, in milliseconds. */
  readonly ttlMs: number;
}

/**
 * How long callers may use an answer, in milliseconds. The time is short so that
 * callers soon stop connecting to dead instances.
 */
const TTL_MS = 2_000;
/**
 * How long callers may use an answer that names instances in graceful shutdown, in
 * milliseconds. Such instances accept all calls for 2.5 s only, and a caller that asks
 * again may get an instance that has restarted. When instances of small regions were
 * restarted one after another (one scenario, one run with each value), callers were
 * served 0.938 of what they were owed, against 0.904 with the longer time.
 */
const LEAVING_TTL_MS = 500;

/**
 * Returns the instances that a caller may connect to: the ready instances of its
 * region. If that region has none, as when all of its instances are restarted one after
 * another, calls without home regions may go to any other region.
 *
 * Calls with home regions must not even be sent to another region: when all instances
 * of their home regions were restarted within seconds, up to 254 of 1,350 such calls
 * went to a region that is not one of their homes. One answer serves all calls of a
 * host. A host that has calls with home regions therefore gets the regions that may
 * serve all of its calls, then those that may serve nearly all, then instances in
 * graceful shutdown that still accept calls, and otherwise an empty answer, although
 * other regions could serve some of its calls.
 *
 * Of a region's instances, those that reach none of its servers are left out while others
 * do: they could only forward their calls to these.
 *
 * Of the ready instances, each caller gets a selection in which the small ones of them are
 * rarer, see {@linkcode selectByCapacity}.
 *
 * @param fleet Known instances and their states.
 * @param request Region of the caller, and the home regions of the host.
 * @param nowMs Current time, in milliseconds.
 */
export function pickEntries(
  fleet: FleetView,
  request: EntryRequest,
  nowMs: number,
): EntryAnswer {
  const { caller, isCutOff = () => false } = request;
  const listReadyIn = (regions: readonly RegionId[]) => {
    const usable = regions.flatMap((region) => {
      const ready = fleet.listReady(region, nowMs);
      const connected = ready.filter((member) => !isCutOff(member));
      return connected.length > 0 ? connected : ready;
    });
    return caller === undefined
      ? usable
      : selectByCapacity(usable, caller, MAX_ENTRIES);
  };
  const listLeaving = (regions: readonly RegionId[]) =>
    [...new Set([request.region, ...regions])]
      .flatMap((region) => fleet.listLeaving(region, nowMs));
  const local = listReadyIn([request.region]);
  if (local.length > 0) return pickFirst([{ choice: "near", entries: local }]);
  const homes = request.findHomes();
  switch (homes.kind) {
    case "unknown":
      return pickFirst([{ choice: "leaving", entries: listLeaving([]) }]);
    case "anywhere":
      return pickFirst([
        { choice: "elsewhere", entries: listReadyIn(fleet.listRegions()) },
        { choice: "leaving", entries: listLeaving(fleet.listRegions()) },
      ]);
    case "bound":
      return pickFirst([
        { choice: "home", entries: listReadyIn(homes.regions) },
        { choice: "usual", entries: listReadyIn(homes.usual) },
        { choice: "leaving", entries: listLeaving(homes.regions) },
      ]);
  }
}

/** Returns the first answer that names an instance, or `none` if there is no such answer. */
function pickFirst(
  answers: readonly Pick<EntryAnswer, "choice" | "entries">[],
): EntryAnswer {
  const found = answers.find(({ entries }) => entries.length > 0);
  const { choice, entries } = found ?? { choice: "none", entries: [] };
  const ttlMs = choice === "leaving" ? LEAVING_TTL_MS : TTL_MS;
  return { choice, entries: entries.slice(0, MAX_ENTRIES), ttlMs };
}
