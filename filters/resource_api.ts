import { err, ok, type Result } from "neverthrow";
import {
  acceptChanges,
  type ConfigurationController,
  type ConfigurationState,
  readEntriesAfter,
} from "../configuration/mod.ts";
import type { PlacementStatus } from "../engine/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import {
  type ConfigurationEntry,
  readResource,
  readResources,
  type RequestedChange,
  type Resource,
  RESOURCE_SCHEMAS,
  type ResourceKind,
} from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { ServicePool } from "../routing/mod.ts";
import type { GuardedStore } from "../store/mod.ts";
import { readUsage } from "../usage/mod.ts";
import {
  createJsonReply,
  type Exchange,
  type Filter,
  type Reply,
  type ReplyEvent,
} from "./exchange.ts";
import { parseJsonObject } from "./parse_call.ts";

/** What the resource API uses of an instance's gateway. */
export interface ResourceApiGateway {
  readonly parts: Pick<
    GatewayParts,
    "clock" | "logger" | "options" | "random" | "self"
  >;
  readonly configuration: ConfigurationState;
  readonly controller: ConfigurationController;
  readonly inFlight: number;
  leave(signal: AbortSignal): Promise<void>;
  readonly membership: Membership;
  readonly pools: ReadonlyMap<string, ServicePool>;
  readPlacements: () => readonly PlacementStatus[];
  readPool(service: string): ServicePool;
  runSerially<T>(run: () => Promise<T>): Promise<T>;
  readonly store: GuardedStore;
}

/** A resource as it is shown to operators. */
export interface ResourceView extends Resource {
  /** Observed state of the resource. */
  readonly status: Readonly<Record<string, unknown>>;
}

type Handler = (
  gateway: ResourceApiGateway,
  exchange: Exchange,
) => Promise<Result<Reply, Failure>>;

const WATCH_INTERVAL_MS = 100;

/** The handlers of the resource API, by method and path. */
export const RESOURCE_HANDLERS: readonly {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly handler: Handler;
}[] = [
  { method: "GET", path: "/api/v1/status", handler: readStatus },
  { method: "GET", path: "/api/v1/audit", handler: readAudit },
  { method: "GET", path: "/api/v1/usage", handler: readUsageTotals },
  { method: "GET", path: "/api/v1/watch", handler: watchEntries },
  { method: "POST", path: "/api/v1/changes", handler: applyChanges },
  { method: "POST", path: "/api/v1/drain", handler: drainInstance },
  { method: "PUT", path: "/api/v1/log-level", handler: setLogLevel },
  { method: "GET", path: "/api/v1/resources/:kind", handler: listResources },
  {
    method: "GET",
    path: "/api/v1/resources/:kind/:name",
    handler: getResource,
  },
  {
    method: "PUT",
    path: "/api/v1/resources/:kind/:name",
    handler: putResource,
  },
  {
    method: "DELETE",
    path: "/api/v1/resources/:kind/:name",
    handler: deleteResource,
  },
];

/** Returns the last filter of a chain: it runs a handler of the resource API. */
export function toFilter(
  gateway: ResourceApiGateway,
  handler: Handler,
): Filter {
  return (exchange) => handler(gateway, exchange);
}

async function listResources(gateway: ResourceApiGateway, exchange: Exchange) {
  const kind = parseKind(exchange);
  if (kind.isErr()) return err(kind.error);
  const items = readResources(gateway.configuration.catalog, kind.value)
    .map((resource) => toView(gateway, resource));
  return await Promise.resolve(ok(createJsonReply(200, { items })));
}

async function getResource(gateway: ResourceApiGateway, exchange: Exchange) {
  const kind = parseKind(exchange);
  if (kind.isErr()) return err(kind.error);
  const name = exchange.params.name ?? "";
  const resource = readResource(
    gateway.configuration.catalog,
    kind.value,
    name,
  );
  if (resource === undefined) {
    return err(
      createFailure("NOT_FOUND", `No resource ${kind.value}/${name} exists`),
    );
  }
  return await Promise.resolve(
    ok(createJsonReply(200, toView(gateway, resource))),
  );
}

async function putResource(gateway: ResourceApiGateway, exchange: Exchange) {
  const body = await readJson(exchange);
  if (body.isErr()) return err(body.error);
  const { spec, version } = body.value;
  if (spec === undefined || spec === null) {
    return err(
      createFailure("INVALID_RESOURCE", 'Cannot apply: "spec" is missing'),
    );
  }
  return await acceptRequestedChanges(gateway, exchange, [
    createRequestedChange(exchange, spec, version),
  ]);
}

async function deleteResource(gateway: ResourceApiGateway, exchange: Exchange) {
  const version = new URLSearchParams(exchange.request.query).get("version");
  const expectedVersion = version === null ? undefined : Number(version);
  return await acceptRequestedChanges(gateway, exchange, [
    createRequestedChange(exchange, null, expectedVersion),
  ]);
}

async function applyChanges(gateway: ResourceApiGateway, exchange: Exchange) {
  const body = await readJson(exchange);
  if (body.isErr()) return err(body.error);
  const { changes } = body.value;
  const isList = Array.isArray(changes) &&
    changes.every((change) => typeof change === "object" && change !== null);
  if (!isList) {
    return err(
      createFailure(
        "INVALID_RESOURCE",
        'Cannot apply: "changes" must be a list',
      ),
    );
  }
  const requested = (changes as Record<string, unknown>[]).map((change) => ({
    kind: String(change.kind),
    name: String(change.name),
    spec: change.spec ?? null,
    ...(typeof change.version === "number" ? { version: change.version } : {}),
  }));
  return await acceptRequestedChanges(gateway, exchange, requested);
}

async function acceptRequestedChanges(
  gateway: ResourceApiGateway,
  exchange: Exchange,
  changes: readonly RequestedChange[],
): Promise<Result<Reply, Failure>> {
  const query = new URLSearchParams(exchange.request.query);
  if (!await gateway.controller.catchUpWithPeers()) {
    const message =
      "This instance is behind: it has not yet heard the newest change";
    return err(createFailure("NOT_READY", message, { retryAfterMs: 500 }));
  }
  const accepted = await gateway.runSerially(() =>
    acceptChanges({
      store: gateway.store,
      state: gateway.configuration,
      clock: gateway.parts.clock,
      random: gateway.parts.random,
      instance: gateway.parts.self.id,
    }, {
      operator: readOperator(exchange),
      changes,
      isDryRun: query.get("dry-run") === "true",
    })
  );
  return accepted.map((change) => createJsonReply(200, change));
}

async function readStatus(gateway: ResourceApiGateway) {
  const { clock, logger, self } = gateway.parts;
  const { membership, configuration } = gateway;
  const nowMs = clock.nowMs();
  const ownMembers = membership.members.filter(({ status }) =>
    status === "live" || status === "suspect"
  );
  const sequences = [
    configuration.sequence,
    ...ownMembers.map((member) => member.configuration),
  ];
  const ownRegion = {
    region: self.region,
    in_force: Math.min(...sequences),
    newest: Math.max(...sequences),
    live: membership.liveIds.length,
    age_ms: 0,
  };
  const remoteRegions = membership.readDigests(nowMs).map((
    { digest, ageMs },
  ) => ({
    region: digest.region,
    in_force: digest.configuration[0],
    newest: digest.configuration[1],
    live: digest.liveCount,
    age_ms: Math.round(ageMs),
  }));
  const listedRegions = new Set(
    membership.listedInstances.map(({ region }) => region),
  );
  const reportedRegions = new Set(
    [ownRegion, ...remoteRegions].map(({ region }) => region),
  );
  return await Promise.resolve(ok(createJsonReply(200, {
    instance: self.id,
    sequence: configuration.sequence,
    store_reachable: gateway.store.isReachable,
    regions: [ownRegion, ...remoteRegions],
    silent_regions: [...listedRegions].filter((region) =>
      !reportedRegions.has(region)
    ),
    members: [
      {
        id: self.id,
        status: membership.isLeaving ? "leaving" : "live",
        configuration: configuration.sequence,
      },
      ...membership.members.map((member) => ({
        id: member.record.id,
        status: member.status,
        configuration: member.configuration,
      })),
    ],
    engines: readEngines(gateway),
    placements: gateway.readPlacements(),
    in_flight: gateway.inFlight,
    stale_dropped: configuration.staleCount,
    log_level: logger.level,
  })));
}

async function readAudit(gateway: ResourceApiGateway, exchange: Exchange) {
  const after = Number(
    new URLSearchParams(exchange.request.query).get("after") ?? "0",
  );
  const read = await readEntriesAfter(
    gateway.store,
    Number.isInteger(after) ? after : 0,
  );
  if (read.isOk()) {
    return ok(createJsonReply(200, { items: read.value, is_complete: true }));
  }
  const recentEntries = gateway.configuration.recent.filter(({ sequence }) =>
    sequence > after
  );
  return ok(createJsonReply(200, { items: recentEntries, is_complete: false }));
}

async function readUsageTotals(gateway: ResourceApiGateway) {
  const usage = await readUsage(gateway.store);
  if (usage.isOk()) return ok(createJsonReply(200, { teams: usage.value }));
  return err(
    createFailure("STORE_UNAVAILABLE", usage.error.message, {
      retryAfterMs: 2_000,
    }),
  );
}

async function watchEntries(gateway: ResourceApiGateway, exchange: Exchange) {
  const after = Number(
    new URLSearchParams(exchange.request.query).get("after") ?? "0",
  );
  const events = followEntries(
    gateway,
    Number.isInteger(after) ? after : 0,
    exchange,
  );
  return await Promise.resolve(
    ok<Reply, Failure>({ kind: "events", headers: {}, events }),
  );
}

async function* followEntries(
  gateway: ResourceApiGateway,
  after: number,
  exchange: Exchange,
): AsyncGenerator<ReplyEvent> {
  let pending: ConfigurationEntry[] = gateway.configuration.recent
    .filter(({ sequence }) => sequence > after);
  const unsubscribe = gateway.configuration.subscribe((entry) => {
    if (entry !== undefined) pending.push(entry);
  });
  try {
    while (!exchange.request.signal.aborted && !gateway.membership.isLeaving) {
      const entries = pending;
      pending = [];
      yield* entries.map((entry) => ({ data: JSON.stringify(entry) }));
      await new Promise<void>((resolve) =>
        gateway.parts.clock.schedule(WATCH_INTERVAL_MS, resolve)
      );
    }
  } finally {
    unsubscribe();
  }
}

async function drainInstance(gateway: ResourceApiGateway) {
  void gateway.leave(new AbortController().signal);
  return await Promise.resolve(
    ok(
      createJsonReply(202, {
        instance: gateway.parts.self.id,
        in_flight: gateway.inFlight,
      }),
    ),
  );
}

async function setLogLevel(gateway: ResourceApiGateway, exchange: Exchange) {
  const body = await readJson(exchange);
  if (body.isErr()) return err(body.error);
  const { level } = body.value;
  const levels = ["trace", "debug", "info", "warn", "error", "silent"] as const;
  const newLevel = levels.find((each) => each === level);
  if (newLevel === undefined) {
    const message = `Cannot set the log level: wanted one of ${
      levels.join(", ")
    }`;
    return err(createFailure("BAD_REQUEST", message));
  }
  gateway.parts.logger.setLevel(newLevel);
  return ok(createJsonReply(200, { level: newLevel }));
}

function createRequestedChange(
  exchange: Exchange,
  spec: unknown,
  version: unknown,
): RequestedChange {
  return {
    kind: exchange.params.kind ?? "",
    name: exchange.params.name ?? "",
    spec,
    ...(typeof version === "number" ? { version } : {}),
  };
}

function parseKind(exchange: Exchange): Result<ResourceKind, Failure> {
  const kind = exchange.params.kind ?? "";
  if (Object.hasOwn(RESOURCE_SCHEMAS, kind)) return ok(kind as ResourceKind);
  const message = `No kind "${kind}": wanted one of ${
    Object.keys(RESOURCE_SCHEMAS).join(", ")
  }`;
  return err(createFailure("NOT_FOUND", message));
}

async function readJson(
  exchange: Exchange,
): Promise<Result<Record<string, unknown>, Failure>> {
  return (await exchange.request.readBody()).andThen(parseJsonObject);
}

function readOperator(exchange: Exchange): string {
  const teamName = exchange.team?.id ?? "operator";
  const operatorName = exchange.request.headers["x-operator"];
  return operatorName === undefined
    ? teamName
    : `${teamName}/${operatorName.slice(0, 64)}`;
}

function toView(gateway: ResourceApiGateway, resource: Resource): ResourceView {
  return { ...resource, status: readResourceStatus(gateway, resource) };
}

function readResourceStatus(
  gateway: ResourceApiGateway,
  resource: Resource,
): Readonly<Record<string, unknown>> {
  const nowMs = gateway.parts.clock.nowMs();
  switch (resource.kind) {
    case "engine":
    case "plain-server": {
      const { service, region } = (resource as Resource<"engine">).spec;
      if (region !== gateway.parts.self.region) {
        return { seen_from: "another region" };
      }
      const engine = gateway.readPool(service).readEngine(resource.name);
      if (engine === undefined) return { state: "unknown" };
      return {
        state: engine.health.ejectedUntilMs > nowMs ? "ejected" : "in use",
        failures: engine.health.failures,
        in_flight: engine.ownInFlight,
        decode_ms: Math.round(engine.decodeMs * 10) / 10,
      };
    }
    case "service": {
      const pool = gateway.readPool(resource.name);
      return {
        spare: Math.round(pool.estimateFreeSlots()),
        queued: pool.queue.length,
        refused: pool.queue.refused,
      };
    }
    default:
      return { in_force: gateway.configuration.sequence >= resource.version };
  }
}

function readEngines(
  gateway: ResourceApiGateway,
): readonly Readonly<Record<string, unknown>>[] {
  const nowMs = gateway.parts.clock.nowMs();
  return [...gateway.pools].flatMap(([service, pool]) =>
    pool.engines.map((engine) => ({
      id: engine.server.id,
      service,
      state: engine.server.isLeaving
        ? "leaving"
        : engine.health.ejectedUntilMs > nowMs
        ? "ejected"
        : "in use",
      in_flight: engine.ownInFlight,
    }))
  );
}
