import type {
  HttpRoute,
  HttpService,
  RouteConfiguration,
} from "./http_route.ts";

/** Finds the route of a call in one configuration. */
export class RouteTable {
  readonly configuration: RouteConfiguration;
  readonly #routesByHost: ReadonlyMap<string, ReadonlyMap<string, HttpRoute>>;
  readonly #services: ReadonlyMap<string, HttpService>;
  readonly #leastGapMs: ReadonlyMap<string, number>;

  /** @param configuration Routes and services. */
  constructor(configuration: RouteConfiguration) {
    this.configuration = configuration;
    const hosts = new Map<string, Map<string, HttpRoute>>();
    configuration.routes.forEach((route) => {
      const prefixes = hosts.get(route.host) ?? new Map<string, HttpRoute>();
      hosts.set(route.host, prefixes.set(route.pathPrefix, route));
    });
    this.#routesByHost = hosts;
    this.#leastGapMs = listLeastGaps(configuration.routes);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
  }

  /**
   * Returns the route with the longest prefix that begins the path.
   *
   * The path is compared as it was sent: a decoded path would let a call reach
   * a route that its bytes do not name.
   *
   * @param host Value of the header, with or without a port.
   * @param target Path and query, as sent.
   */
  findRoute(host: string, target: string): HttpRoute | undefined {
    const prefixes = this.#routesByHost.get(toHostName(host));
    if (prefixes === undefined) return undefined;
    const queryAt = target.indexOf("?");
    const path = queryAt < 0 ? target : target.slice(0, queryAt);
    let slashAt = path.lastIndexOf("/");
    while (slashAt >= 0) {
      const route = prefixes.get(path.slice(0, slashAt + 1));
      if (route !== undefined) return route;
      slashAt = slashAt === 0 ? -1 : path.lastIndexOf("/", slashAt - 1);
    }
    return undefined;
  }

  /** Returns the routes of a host, named with or without a port; none: it is not known. */
  listRoutes(host: string): readonly HttpRoute[] {
    return [...this.#routesByHost.get(toHostName(host))?.values() ?? []];
  }

  /** Returns the shortest pause that streams of a service must keep, in milliseconds. */
  findLeastGapMs(service: string): number | undefined {
    return this.#leastGapMs.get(service);
  }

  /** Returns a service by its name. */
  findService(name: string): HttpService | undefined {
    return this.#services.get(name);
  }
}

function listLeastGaps(
  routes: readonly HttpRoute[],
): ReadonlyMap<string, number> {
  const gaps = new Map<string, number>();
  routes.forEach(({ longestGapMs, services }) => {
    if (longestGapMs === undefined) return;
    services.forEach(({ service }) => {
      const known = gaps.get(service) ?? longestGapMs;
      gaps.set(service, Math.min(known, longestGapMs));
    });
  });
  return gaps;
}

/**
 * Picks one of the services that share a route.
 *
 * @param route Route of the call.
 * @param draw Random number from 0 (included) to 1 (excluded).
 */
export function pickService(route: HttpRoute, draw: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  const picked = route.services.find(({ weight }) => (left -= weight) < 0);
  return (picked ?? route.services[0]!).service;
}

function toHostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
