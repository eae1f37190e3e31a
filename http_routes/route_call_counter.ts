import { SlidingWindowCounter } from "../clock/mod.ts";
import type { HttpRoute } from "./http_route.ts";

/**
 * Length of the window over which the calls of a route are counted, in milliseconds.
 * The window is long enough for hundreds of calls of a busy host, and short enough to
 * follow a change of routes.
 */
const COUNT_WINDOW_MS = 60_000;

/** Counts the recent calls that callers sent to this instance for routes with home regions. */
export class RouteCallCounter {
  readonly #counts = new Map<string, SlidingWindowCounter>();

  /** Counts a call. A call of a route without home regions is ignored. */
  record(route: HttpRoute, nowMs: number): void {
    if (route.homeRegions === undefined) return;
    const key = toKey(route);
    const count = this.#counts.get(key) ??
      new SlidingWindowCounter(COUNT_WINDOW_MS);
    this.#counts.set(key, count);
    count.add(nowMs);
  }

  /** Returns the number of calls of a route in the last minute. */
  read(route: HttpRoute, nowMs: number): number {
    return this.#counts.get(toKey(route))?.read(nowMs) ?? 0;
  }

  /** Forgets the counts of all other routes. */
  keepOnly(routes: readonly HttpRoute[]): void {
    const kept = new Set(routes.map(toKey));
    [...this.#counts.keys()].filter((key) => !kept.has(key))
      .forEach((key) => this.#counts.delete(key));
  }
}

function toKey({ host, pathPrefix }: HttpRoute): string {
  return host + pathPrefix;
}
