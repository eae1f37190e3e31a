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
  readonly #maxTokenGapsMs: ReadonlyMap<string, number>;

  /** @param configuration Routes and services. */
  constructor(configuration: RouteConfiguration) {
    this.configuration = configuration;
    const hosts = new Map<string, Map<string, HttpRoute>>();
    configuration.routes.forEach((route) => {
      const prefixes = hosts.get(route.host) ?? new Map<string, HttpRoute>();
      hosts.set(route.host, prefixes.set(route.pathPrefix, route));
    });
    this.#routesByHost = hosts;
    this.#maxTokenGapsMs = listMaxTokenGaps(configuration.routes);
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
  }

  /**
   * Returns the route with the longest prefix of the path.
   *
   * The path is compared as it was sent. With a decoded path, a call could reach a
   * route that the bytes of its path do not name.
   *
   * @param host Value of the `Host` header, with or without a port.
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

  /**
   * Returns the routes of a host; empty if the host is not known.
   *
   * @param host Value of the `Host` header, with or without a port.
   */
  listRoutes(host: string): readonly HttpRoute[] {
    return [...this.#routesByHost.get(toHostName(host))?.values() ?? []];
  }

  /**
   * Returns the strictest objective for the maximum pause between events of a stream,
   * among all routes of a service, in milliseconds; `undefined`: no route has one.
   */
  findMaxTokenGapMs(service: string): number | undefined {
    return this.#maxTokenGapsMs.get(service);
  }

  /** Returns the service with the given name. */
  findService(name: string): HttpService | undefined {
    return this.#services.get(name);
  }
}

function listMaxTokenGaps(
  routes: readonly HttpRoute[],
): ReadonlyMap<string, number> {
  const gaps = new Map<string, number>();
  routes.forEach(({ maxTokenGapMs, services }) => {
    if (maxTokenGapMs === undefined) return;
    services.forEach(({ service }) => {
      const known = gaps.get(service) ?? maxTokenGapMs;
      gaps.set(service, Math.min(known, maxTokenGapMs));
    });
  });
  return gaps;
}

/**
 * Picks one of the services that share a route.
 *
 * @param route Route of the call.
 * @param randomFraction Random number from 0 (included) to 1 (excluded).
 */
export function pickService(route: HttpRoute, randomFraction: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = randomFraction * total;
  const picked = route.services.find(({ weight }) => (remaining -= weight) < 0);
  return (picked ?? route.services[0]!).service;
}

function toHostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
