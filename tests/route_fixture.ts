import {
  type HttpRoute,
  type HttpService,
  INITIAL_LIMITS,
  RouteTable,
} from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";

/** Host of all routes below. */
export const ROUTE_HOST = "app.example";

/**
 * Returns an idempotent route of service `app`.
 *
 * @param pathPrefix Begins and ends with a slash; its name, too.
 * @param homes Names of the regions that may serve it. Default: all.
 */
export function createRoute(
  pathPrefix: string,
  homes?: readonly string[],
): HttpRoute {
  return {
    name: pathPrefix,
    host: ROUTE_HOST,
    pathPrefix,
    routeClass: "idempotent",
    timeoutMs: 2_000,
    targetMs: 1_000,
    longestGapMs: undefined,
    priority: 0,
    isPublic: false,
    services: [{ service: "app", weight: 1 }],
    maxAttempts: 2,
    isResumable: false,
    homeRegions: homes?.map(toRegionId),
  };
}

/**
 * Returns the table of these routes and the plain service `app`.
 *
 * @param routes All routes.
 * @param service What differs of the service. Default: it is never cold.
 */
export function createRouteTable(
  routes: readonly HttpRoute[],
  service: Partial<HttpService> = {},
): RouteTable {
  return new RouteTable({
    version: 1,
    routes,
    services: [{
      name: "app",
      maxConnections: 10,
      warmUpMs: 0,
      warmUpCallsPerSecond: 0,
      engine: undefined,
      ...service,
    }],
    limits: INITIAL_LIMITS,
    teams: undefined,
  });
}
