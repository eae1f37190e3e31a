import { SlidingCount } from "../clock/mod.ts";
import type { HttpRoute } from "./http_route.ts";

/**
 * Span over which the calls of a route are counted, in milliseconds: long enough for
 * hundreds of calls of a busy host, short enough to follow a change of routes.
 */
const USE_WINDOW_MS = 60_000;

/** Counts the calls of routes with homes, as callers sent them here lately. */
export class RouteUse {
  readonly #counts = new Map<string, SlidingCount>();

  /** Counts a call of a caller. */
  record(route: HttpRoute, nowMs: number): void {
    if (route.homeRegions === undefined) return;
    const key = toKey(route);
    const count = this.#counts.get(key) ?? new SlidingCount(USE_WINDOW_MS);
    this.#counts.set(key, count);
    count.add(nowMs);
  }

  /** Returns how many calls a route got in the last minute. */
  read(route: HttpRoute, nowMs: number): number {
    return this.#counts.get(toKey(route))?.read(nowMs) ?? 0;
  }

  /** Forgets the routes that are gone. */
  keepOnly(routes: readonly HttpRoute[]): void {
    const kept = new Set(routes.map(toKey));
    [...this.#counts.keys()].filter((key) => !kept.has(key))
      .forEach((key) => this.#counts.delete(key));
  }
}

function toKey({ host, pathPrefix }: HttpRoute): string {
  return host + pathPrefix;
}
