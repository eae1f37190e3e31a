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

/** Connections to one server from all instances together, where no resource says it. */
const MAX_CONNECTIONS = 256;

/**
 * Routes and servers from the project's own resources. The daemon keeps the
 * configuration; what changes in it is put in force here at once.
 */
export class CatalogState implements StateSource {
  readonly instanceAddresses: readonly string[] = [];
  readonly #configuration: ConfigurationState;
  readonly #sinks: StateSinks;
  readonly #nowMs: () => number;

  /**
   * @param configuration What is in force at this daemon.
   * @param sinks What its changes go to.
   * @param nowMs Source of time.
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

  get known(): KnownState {
    const { sequence } = this.#configuration;
    return {
      configurationVersion: sequence,
      store: { era: 0, revision: sequence },
      isStoreLost: false,
    };
  }

  get isLoaded(): boolean {
    return this.#configuration.isLoaded;
  }

  get isReachable(): boolean {
    return this.#configuration.isLoaded;
  }

  /** The daemon spreads its configuration itself: there is nothing to copy. */
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

  applyCopy(): boolean {
    return false;
  }

  sweep(): void {}

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
        // Where all routes are public, what callers send in `Authorization` is between
        // them and the servers.
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
    longestGapMs: undefined,
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
