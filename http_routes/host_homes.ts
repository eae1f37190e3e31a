import type { RegionId } from "../ids/mod.ts";
import { type HttpRoute, mayServe } from "./http_route.ts";

/**
 * Maximum fraction of a host's calls with home regions that may be directed to other
 * regions. Users accept one in twenty.
 */
const MAX_OUTSIDE_HOME_FRACTION = 0.05;
/**
 * Minimum number of calls with home regions for which fractions are compared. With
 * fewer calls, a single one exceeds the maximum fraction.
 */
const MIN_CALLS = 1 / MAX_OUTSIDE_HOME_FRACTION;

/**
 * Regions to which callers of a host may be directed. All calls of a host get the same
 * answer, so that the strictest of its routes decides. A host without home regions
 * differs from a host whose routes have no home region in common: calls of the first
 * may go to any region, calls of the second have no region that may serve all of them.
 */
export type HostHomes =
  /** The configuration in force lacks the host: any of its calls may have home regions. */
  | { readonly kind: "unknown" }
  /** No route of the host has home regions. */
  | { readonly kind: "anywhere" }
  | {
    readonly kind: "bound";
    /** Regions that are a home of every route that has home regions. */
    readonly regions: readonly RegionId[];
    /** Further regions, each a home of nearly all recent calls that have home regions. */
    readonly usual: readonly RegionId[];
  };

/**
 * Returns the regions to which callers of a host may be directed.
 *
 * @param routes All routes of the host.
 * @param countCalls Returns the number of recent calls of a route at this instance.
 */
export function findHostHomes(
  routes: readonly HttpRoute[],
  countCalls: (route: HttpRoute) => number,
): HostHomes {
  if (routes.length === 0) return { kind: "unknown" };
  const bound = routes.filter(({ homeRegions }) => homeRegions !== undefined);
  if (bound.length === 0) return { kind: "anywhere" };
  const homes = [
    ...new Set(bound.flatMap(({ homeRegions }) => homeRegions ?? [])),
  ];
  const counts = new Map(bound.map((route) => [route, countCalls(route)]));
  const sumCalls = (subset: readonly HttpRoute[]) =>
    subset.reduce((sum, route) => sum + counts.get(route)!, 0);
  const listRoutesExcluding = (region: RegionId) =>
    bound.filter((route) => !mayServe(route, region));
  const total = sumCalls(bound);
  const isUsual = (excluding: readonly HttpRoute[]) =>
    excluding.length > 0 && total >= MIN_CALLS &&
    sumCalls(excluding) <= MAX_OUTSIDE_HOME_FRACTION * total;
  return {
    kind: "bound",
    regions: homes.filter((region) => listRoutesExcluding(region).length === 0),
    usual: homes.filter((region) => isUsual(listRoutesExcluding(region))),
  };
}
