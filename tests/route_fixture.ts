import {
  type HttpRoute,
  type HttpService,
  INITIAL_LIMITS,
  RouteTable,
} from "../http_routes/mod.ts";
import { toRegionId } from "../ids/mod.ts";

/** Host name of the routes that `createRoute` returns. */
export const ROUTE_HOST = "app.example";

/**
 * Returns an idempotent route of service `app`.
 *
 * @param pathPrefix Path prefix that begins and ends with a slash, and the name of the route.
 * @param homes Names of the regions that may serve the route. Default: all.
 * @param changed Members of the route that differ from the default.
 */
export function createRoute(
  pathPrefix: string,
  homes?: readonly string[],
  changed: Partial<HttpRoute> = {},
): HttpRoute {
  return {
    name: pathPrefix,
    host: ROUTE_HOST,
    pathPrefix,
    routeClass: "idempotent",
    timeoutMs: 2_000,
    targetMs: 1_000,
    maxTokenGapMs: undefined,
    priority: 0,
    isPublic: false,
    services: [{ service: "app", weight: 1 }],
    maxAttempts: 2,
    isResumable: false,
    homeRegions: homes?.map(toRegionId),
    ...changed,
  };
}

/**
 * Returns a route table with the given routes and the plain service `app`.
 *
 * @param routes Routes of the table.
 * @param service Members of the service that differ from the default, which needs no warm-up.
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
