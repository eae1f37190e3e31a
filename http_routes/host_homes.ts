import type { RegionId } from "../ids/mod.ts";
import { type HttpRoute, mayServe } from "./http_route.ts";

/**
 * Part of a host's calls with homes that may find themselves outside of them: the
 * users bear that one in twenty is led away.
 */
const STRAYING_PART = 0.05;
/** Calls with homes from which on their parts are judged: below, one call is over that part. */
const FEWEST_CALLS = 1 / STRAYING_PART;

/**
 * Where callers of a host may be led. A host has one answer for all of its calls, so
 * that the strictest of its routes counts. No homes and no home in common are
 * different things: calls of the one may go anywhere, of the other nowhere else.
 */
export type HostHomes =
  /** No configuration in force has the host: any of its calls may be bound. */
  | { readonly kind: "unknown" }
  /** None of its calls is bound to a region. */
  | { readonly kind: "anywhere" }
  | {
    readonly kind: "bound";
    /** Homes of each route that has homes. */
    readonly regions: readonly RegionId[];
    /** Homes of nearly all calls with homes that came lately, beside those. */
    readonly usual: readonly RegionId[];
  };

/**
 * Returns where callers of a host may be led.
 *
 * @param routes All routes of the host.
 * @param countCalls Returns how many calls a route got here lately.
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
  const sumCalls = (some: readonly HttpRoute[]) =>
    some.reduce((sum, route) => sum + counts.get(route)!, 0);
  const listStraying = (region: RegionId) =>
    bound.filter((route) => !mayServe(route, region));
  const total = sumCalls(bound);
  const isUsual = (straying: readonly HttpRoute[]) =>
    straying.length > 0 && total >= FEWEST_CALLS &&
    sumCalls(straying) <= STRAYING_PART * total;
  return {
    kind: "bound",
    regions: homes.filter((region) => listStraying(region).length === 0),
    usual: homes.filter((region) => isUsual(listStraying(region))),
  };
}
