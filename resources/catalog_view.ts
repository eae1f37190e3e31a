import {
  type BackendId,
  type RegionId,
  type TeamId,
  toBackendId,
  toRegionId,
  toTeamId,
} from "../ids/mod.ts";
import {
  type Catalog,
  readResource,
  readResources,
  type SpecOf,
} from "./catalog.ts";
import { type TeamKeys, TeamTable } from "../teams/mod.ts";
import { groupBy } from "./group_by.ts";
import type { Resource } from "./resource.ts";

/** A backend server, with what the request path needs of it. */
export interface BackendServer {
  readonly id: BackendId;
  readonly service: string;
  readonly region: RegionId;
  readonly failureDomain: string;
  readonly url: string;
  readonly isLeaving: boolean;
  /** Number of sequences that the server decodes at the same time. */
  readonly slots: number;
  readonly pricePerSecond: number;
  readonly checksFencing: boolean;
}

/** Number of calls that a server of a plain service handles at the same time. */
export const PLAIN_SERVER_SLOTS = 64;

/** A team, with what the request path needs of it. */
export interface Team {
  readonly id: TeamId;
  readonly spec: SpecOf<"team">;
}

/** Indexes over one catalog, for the request path. */
export interface CatalogView {
  readonly catalog: Catalog;
  /** Teams by the keys of their callers. */
  readonly callers: TeamTable;
  readonly teams: ReadonlyMap<string, Team>;
  /** Services by the name of their model, and of each of their adapters. */
  readonly servicesByModel: ReadonlyMap<string, Resource<"service">>;
  readonly plainServices: ReadonlyMap<string, Resource<"plain-service">>;
  readonly services: ReadonlyMap<string, Resource<"service">>;
  /** Backend servers of a service in a region, by `service@region`. */
  readonly backends: ReadonlyMap<string, readonly BackendServer[]>;
  readonly backendsById: ReadonlyMap<string, BackendServer>;
  /** Regions that have backend servers of a service. */
  readonly regionsByService: ReadonlyMap<string, readonly RegionId[]>;
}

/** Returns the key of {@linkcode CatalogView.backends}. */
export function toPoolKey(service: string, region: string): string {
  return `${service}@${region}`;
}

/**
 * Builds the indexes over a catalog; called once for each change.
 *
 * @param catalog Catalog in force.
 */
export function createCatalogView(catalog: Catalog): CatalogView {
  const teams = readResources(catalog, "team").map(({ name, spec }) => ({
    id: toTeamId(name),
    spec,
  }));
  const services = readResources(catalog, "service");
  const servers = [
    ...readResources(catalog, "engine").map(toEngineServer),
    ...readResources(catalog, "plain-server").map(toPlainServer),
  ];
  const backends = groupBy(
    servers,
    ({ service, region }) => toPoolKey(service, region),
  );
  const regions = groupBy(servers, ({ service }) => service);
  return {
    catalog,
    teams: new Map(teams.map((team) => [team.id, team])),
    callers: new TeamTable(teams.map((team) => toTeamKeys(catalog, team))),
    servicesByModel: new Map(
      services.flatMap((service) =>
        [service.name, service.spec.model, ...service.spec.adapters].map((
          name,
        ) => [name, service] as const)
      ),
    ),
    services: new Map(services.map((service) => [service.name, service])),
    plainServices: new Map(
      readResources(catalog, "plain-service").map((
        service,
      ) => [service.name, service]),
    ),
    backends,
    backendsById: new Map(servers.map((server) => [server.id, server])),
    regionsByService: new Map(
      [...regions].map(([service, list]) => [
        service,
        [...new Set(list.map(({ region }) => region))],
      ]),
    ),
  };
}

/**
 * Returns the regions that a residency rule allows, or `undefined` if no rule is
 * named, which allows all regions. A rule that is named but missing allows none.
 *
 * @param catalog Catalog in force.
 * @param name Name of the rule, if any.
 */
export function readAllowedRegions(
  catalog: Catalog,
  name: string | undefined,
): ReadonlySet<RegionId> | undefined {
  if (name === undefined) return undefined;
  const rule = readResource(catalog, "residency", name);
  return new Set((rule?.spec.regions ?? []).map(toRegionId));
}

function toTeamKeys(catalog: Catalog, { id, spec }: Team): TeamKeys {
  const homes = readAllowedRegions(catalog, spec.residency);
  const { requestsPerSecond, tokenHashes } = spec;
  return {
    tokenHashes,
    team: {
      id,
      priority: undefined,
      homeRegions: homes && [...homes],
      limit: {
        unit: "requests",
        perSecond: requestsPerSecond,
        burst: requestsPerSecond,
        plainTokens: 0,
      },
    },
  };
}

function toEngineServer({ name, spec }: Resource<"engine">): BackendServer {
  return {
    id: toBackendId(name),
    service: spec.service,
    region: toRegionId(spec.region),
    failureDomain: spec.failureDomain,
    url: spec.url,
    isLeaving: spec.leaving,
    slots: spec.slots,
    pricePerSecond: spec.pricePerSecond,
    checksFencing: spec.checksFencing,
  };
}

function toPlainServer(
  { name, spec }: Resource<"plain-server">,
): BackendServer {
  return {
    id: toBackendId(name),
    service: spec.service,
    region: toRegionId(spec.region),
    failureDomain: spec.failureDomain,
    url: spec.url,
    isLeaving: spec.leaving,
    slots: PLAIN_SERVER_SLOTS,
    pricePerSecond: 0,
    checksFencing: false,
  };
}
