import type { RegionId } from "../ids/mod.ts";
import type { TeamTable } from "../teams/mod.ts";

/** Whether and how calls of a route may be repeated. */
export type HttpRouteClass =
  /** May run more than once. */
  | "idempotent"
  /** Runs at most once for each call. */
  | "non-idempotent"
  /** Answered by a stream of events with increasing ids. */
  | "stream";

/** One of the services that share the calls of a route. */
export interface WeightedService {
  readonly service: string;
  /** Share of the calls, relative to the sum of all weights of the route. */
  readonly weight: number;
}

/** How calls to one host and path prefix are served. */
export interface HttpRoute {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly routeClass: HttpRouteClass;
  /** Maximum time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Response time objective, in milliseconds. For a stream: time to its first event. */
  readonly targetMs: number;
  /**
   * Objective for the maximum pause between events of a stream, which are tokens if a
   * model engine serves the stream, in milliseconds. Default: no bound.
   */
  readonly maxTokenGapMs: number | undefined;
  /** Rank of the calls: 0 is the most urgent. */
  readonly priority: number;
  /** Whether callers need no key in a deployment that has teams. */
  readonly isPublic: boolean;
  readonly services: readonly WeightedService[];
  /** Maximum number of backend servers that one call may be sent to. */
  readonly maxAttempts: number;
  /** Whether another backend server may resume a broken stream. */
  readonly isResumable: boolean;
  /**
   * Regions that may serve the calls; `undefined`: all. An empty list allows none, so
   * that a missing rule never allows calls to be served everywhere.
   */
  readonly homeRegions: readonly RegionId[] | undefined;
}

/** Returns whether a region may serve the calls of a route or of a team. */
export function mayServe(
  { homeRegions }: Pick<HttpRoute, "homeRegions">,
  region: RegionId,
): boolean {
  return homeRegions?.includes(region) ?? true;
}

/** A service that routes send calls to. */
export interface HttpService {
  readonly name: string;
  /** Maximum number of connections from all instances together to one of its servers. */
  readonly maxConnections: number;
  /** How long a server is cold after its start, in milliseconds. */
  readonly warmUpMs: number;
  /** Maximum calls per second from all instances together to one cold server; 0: no bound. */
  readonly warmUpCallsPerSecond: number;
  /** Set if its servers are model engines. */
  readonly engine: EngineSpec | undefined;
}

/** Capacity of each model engine of a service. */
export interface EngineSpec {
  /** Maximum number of sequences that an engine runs at a time. */
  readonly maxSequences: number;
  /** Tokens that fit into the memory of an engine, including cached ones. */
  readonly cacheTokens: number;
}

/** Bounds on the size and duration of what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Maximum time from the first to the last byte of a header, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Maximum time that a persistent connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One version of all routes, with the services, limits and teams that belong to it. */
export interface RouteConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly HttpRoute[];
  readonly services: readonly HttpService[];
  readonly limits: CallerLimits;
  /** Teams whose calls are served; `undefined`: the deployment does not identify callers. */
  readonly teams: TeamTable | undefined;
}

/** Bounds that apply until the first configuration is known. */
export const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};
