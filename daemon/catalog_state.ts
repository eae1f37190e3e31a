import type { ConfigurationState } from "../configuration/mod.ts";
import type { KnownState } from "../fleet/mod.ts";
import {
  type HttpRoute,
  type HttpService,
  INITIAL_LIMITS,
  RouteTable,
} from "../http_routes/mod.ts";
import { toFailureDomainId } from "../ids/mod.ts";
import {
  type BackendServer,
  type Catalog,
  readAllowedRegions,
  readResources,
  type Resource,
} from "../resources/mod.ts";
import type { RegisteredServer } from "../servers/mod.ts";
import type { StateCopy, StateSource } from "../state/mod.ts";
import type { StateSinks } from "./http_gateway.ts";

/** Maximum number of connections to one server from all instances together, as no resource sets it. */
const MAX_CONNECTIONS = 256;

/**
 * Source of routes and servers that reads the project's own resources from a
 * {@linkcode ConfigurationState}, and applies each of its changes at once.
 */
export class CatalogState implements StateSource {
  /** Addresses of instances that the store lists: none. */
  readonly instanceAddresses: readonly string[] = [];
  readonly #configuration: ConfigurationState;
  readonly #sinks: StateSinks;
  readonly #nowMs: () => number;

  /**
   * @param configuration Configuration in force at this instance.
   * @param sinks Recipients of its changes.
   * @param nowMs Returns the current time, in milliseconds.
   */
  constructor(
    configuration: ConfigurationState,
    sinks: StateSinks,
    nowMs: () => number,
  ) {
    this.#configuration = configuration;
    this.#sinks = sinks;
    this.#nowMs = nowMs;
    configuration.subscribe(() => this.#apply());
  }

  /** Sequence number of the configuration, as the version and the position in the store. */
  get known(): KnownState {
    const { sequence } = this.#configuration;
    return {
      configurationVersion: sequence,
      store: { era: 0, revision: sequence },
      isStoreLost: false,
    };
  }

  /** Whether a configuration is loaded. */
  get isLoaded(): boolean {
    return this.#configuration.isLoaded;
  }

  /** Whether the source can be read: once a configuration is loaded. */
  get isReachable(): boolean {
    return this.#configuration.isLoaded;
  }

  /** Returns an empty copy: the configuration controller distributes the configuration. */
  createCopy(): StateCopy {
    return {
      revision: 0,
      era: 0,
      configurationVersion: 0,
      afterRevision: 0,
      entries: [],
      removed: [],
      isAfterOutage: false,
    };
  }

  /** Ignores copies and returns `false`: the configuration controller applies changes. */
  applyCopy(): boolean {
    return false;
  }

  /** Does nothing: there is no state that expires. */
  sweep(): void {}

  /** Applies the configuration if it is loaded already; later changes arrive by subscription. */
  run(): Promise<void> {
    if (this.isLoaded) this.#apply();
    return Promise.resolve();
  }

  #apply(): void {
    const { backendsById, callers, catalog } = this.#configuration.view;
    const routes = readResources(catalog, "http-route");
    const servers = [...backendsById.values()].map(toRegisteredServer);
    this.#sinks.registry.replaceAll(servers, this.#nowMs(), 0);
    this.#sinks.applyTable(
      new RouteTable({
        version: catalog.sequence,
        routes: routes.map((route) => toRoute(catalog, route)),
        services: readResources(catalog, "plain-service").map(toService),
        limits: INITIAL_LIMITS,
        // If all routes are public, the `Authorization` header of callers is meant for the
        // servers only.
        teams: routes.some(({ spec }) => !spec.public) ? callers : undefined,
      }),
    );
    this.#sinks.onServers();
  }
}

function toRoute(
  catalog: Catalog,
  { name, spec }: Resource<"http-route">,
): HttpRoute {
  const homes = readAllowedRegions(catalog, spec.residency);
  return {
    name,
    host: spec.host.toLowerCase(),
    pathPrefix: spec.pathPrefix,
    routeClass: spec.routeClass,
    timeoutMs: spec.timeoutMs,
    targetMs: spec.targetMs,
    maxTokenGapMs: undefined,
    priority: spec.priority,
    isPublic: spec.public,
    services: spec.services,
    maxAttempts: spec.maxAttempts,
    isResumable: spec.resumable,
    homeRegions: homes && [...homes],
  };
}

function toService({ name }: Resource<"plain-service">): HttpService {
  return {
    name,
    maxConnections: MAX_CONNECTIONS,
    warmUpMs: 0,
    warmUpCallsPerSecond: 0,
    engine: undefined,
  };
}

function toRegisteredServer(server: BackendServer): RegisteredServer {
  return {
    id: server.id,
    name: server.id,
    startedMs: undefined,
    service: server.service,
    address: new URL(server.url).host,
    failureDomain: toFailureDomainId(server.failureDomain),
    region: server.region,
    slots: server.slots,
    isDraining: server.isLeaving,
    coldForMs: 0,
    sequence: 0,
  };
}
