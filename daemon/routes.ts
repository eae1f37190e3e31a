import createRouter, { type HTTPMethod } from "find-my-way";
import { err, ok, type Result } from "neverthrow";
import { createHash, timingSafeEqual } from "node:crypto";
import {
  composeFilters,
  createApplyLimits,
  createCheckResidency,
  createIdentifyCaller,
  createIdentifyOperator,
  createJournalRun,
  createJsonReply,
  createParseModelCall,
  createParsePlainCall,
  createRouteCall,
  type Exchange,
  type Filter,
  listEntries,
  type Reply,
} from "../filters/mod.ts";
import { BATCH_HANDLERS } from "../filters/batch_api.ts";
import { RESOURCE_HANDLERS, toFilter } from "../filters/resource_api.ts";
import type { RegionId } from "../ids/mod.ts";
import type { CreditPurse } from "../routing/mod.ts";
import { readAllowedRegions } from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { Gateway } from "./gateway.ts";

/** The paths of a daemon. */
export interface Routes {
  /** Runs the chain of a path. */
  handle(exchange: Exchange): Promise<Result<Reply, Failure>>;
  /** Runs an item of a batch, whose team is known. */
  handleItem(exchange: Exchange): Promise<Result<Reply, Failure>>;
  /** Whether an `authorization` header holds the token of daemons. */
  isPeerToken(header: string | undefined): boolean;
}

const SERVICE_PATH = /^\/services\/([^/]+)\/(.*)$/;
const CREDITS_WANTED = 8;
const ASK_INTERVAL_MS = 100;
const DEFAULT_LINK_MS = 60;

/**
 * Returns the paths of a daemon, each with its chain of filters.
 *
 * @param gateway The daemon.
 */
export function createRoutes(gateway: Gateway): Routes {
  const router = createRouter({
    ignoreTrailingSlash: true,
    maxParamLength: 300,
  });
  const on = (
    method: HTTPMethod | HTTPMethod[],
    path: string,
    filter: Filter,
  ) => router.on(method, path, () => {}, filter);
  const { clock, options, random, self } = gateway.parts;
  const { configuration } = gateway;
  const identify = createIdentifyCaller({
    configuration,
    operatorTokenHash: options.operatorTokenHash,
  });
  const identifyOperator = createIdentifyOperator({
    configuration,
    operatorTokenHash: options.operatorTokenHash,
  });
  const caller = createOriginFilter(gateway, identify);
  const serve = [
    createCheckResidency({ configuration, region: self.region }),
    createJournalRun({
      clock,
      random,
      journal: gateway.journal,
      incarnation: gateway.incarnation,
      storeRegions: options.storeRegions,
    }),
    createRouteCall(createRouteParts(gateway)),
  ];
  const limits = createApplyLimits({
    clock,
    limits: gateway.limits,
    borrow: (team) => gateway.borrower.borrowFor(team),
  });
  const refuseEarly = createRefuseNotReady(gateway);
  const model = composeFilters([
    refuseEarly,
    caller,
    limits,
    createParseModelCall({ configuration, clock }),
    ...serve,
  ]);
  const plain = composeFilters([
    refuseEarly,
    caller,
    limits,
    createParsePlainCall({ configuration, clock }),
    ...serve,
  ]);
  const modelItem = composeFilters([
    createParseModelCall({ configuration, clock }),
    ...serve,
  ]);
  const plainItem = composeFilters([
    createParsePlainCall({ configuration, clock }),
    ...serve,
  ]);
  on("POST", "/v1/chat/completions", model);
  on("POST", "/v1/completions", model);
  on(
    ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
    "/services/:name/*",
    plain,
  );
  on(
    "GET",
    "/v1/models",
    composeFilters([identify, createListModels(gateway)]),
  );
  on(
    "GET",
    "/v1/entries",
    composeFilters([identify, createListEntries(gateway)]),
  );
  on(
    "GET",
    "/healthz",
    () => Promise.resolve(ok(createJsonReply(200, { status: "ok" }))),
  );
  on("GET", "/readyz", createReadReadiness(gateway));
  BATCH_HANDLERS.forEach(({ method, path, handler }) =>
    on(method, path, composeFilters([refuseEarly, identify, handler(gateway)]))
  );
  RESOURCE_HANDLERS.forEach(({ method, path, handler }) =>
    on(
      method,
      path,
      composeFilters([identifyOperator, toFilter(gateway, handler)]),
    )
  );
  const peerHash = hashHeader(`Bearer ${options.peerToken}`);
  return {
    handle: async (exchange) => {
      const { method, path } = exchange.request;
      const found = router.find(method as HTTPMethod, path);
      if (found === null) {
        return err(
          createFailure(
            "NOT_FOUND",
            `Nothing is at ${method} ${path.slice(0, 200)}`,
          ),
        );
      }
      const filter = found.store as Filter;
      const params = found.params;
      return await filter(Object.assign(exchange, { params }), refuseUnended);
    },
    handleItem: async (exchange) => {
      const match = SERVICE_PATH.exec(exchange.request.path);
      if (match === null) return await modelItem(exchange, refuseUnended);
      const params = { "name": match[1], "*": match[2] };
      return await plainItem(
        Object.assign(exchange, { params }),
        refuseUnended,
      );
    },
    isPeerToken: (header) =>
      header !== undefined && timingSafeEqual(hashHeader(header), peerHash),
  };
}

function hashHeader(header: string): Buffer {
  return createHash("sha256").update(header).digest();
}

function refuseUnended(): never {
  throw new Error("Cannot go on: the chain has no end");
}

/** A request from a peer carries the team that the entry has identified. */
function createOriginFilter(gateway: Gateway, identify: Filter): Filter {
  return async (exchange, next) => {
    if (exchange.origin.kind === "caller") {
      return await identify(exchange, next);
    }
    const name = exchange.request.headers["x-forwarded-team"] ?? "";
    const team = gateway.configuration.view.teams.get(name);
    if (team === undefined) {
      return err(
        createFailure("FORBIDDEN", `No team "${name}" is in force here`),
      );
    }
    exchange.team = team;
    return await next();
  };
}

function createRefuseNotReady(gateway: Gateway): Filter {
  return async (exchange, next) => {
    if (gateway.membership.isLeaving) {
      const nowMs = gateway.parts.clock.nowMs();
      const { entries } = listEntries(gateway.membership, exchange.requestId, {
        nowMs,
      });
      const details = { entries };
      return err(
        createFailure("LEAVING", "This instance is leaving", { details }),
      );
    }
    if (gateway.configuration.isLoaded) return await next();
    return err(
      createFailure("NOT_READY", "This instance has no configuration yet", {
        retryAfterMs: 1_000,
      }),
    );
  };
}

function createReadReadiness(gateway: Gateway): Filter {
  return () => {
    const body = {
      ready: gateway.isReady,
      leaving: gateway.membership.isLeaving,
      sequence: gateway.configuration.sequence,
    };
    return Promise.resolve(
      ok(createJsonReply(gateway.isReady ? 200 : 503, body)),
    );
  };
}

function createListModels(gateway: Gateway): Filter {
  return (exchange) => {
    const allowed = exchange.team?.spec.services ?? [];
    const { servicesByModel } = gateway.configuration.view;
    const data = [...servicesByModel]
      .filter(([, service]) =>
        allowed.includes("*") || allowed.includes(service.name)
      )
      .map(([id, service]) => ({
        id,
        object: "model",
        owned_by: service.name,
        created: 0,
      }));
    return Promise.resolve(ok(createJsonReply(200, { object: "list", data })));
  };
}

function createListEntries(gateway: Gateway): Filter {
  return (exchange) => {
    const { catalog } = gateway.configuration;
    const allowed = readAllowedRegions(catalog, exchange.team?.spec.residency);
    const nowMs = gateway.parts.clock.nowMs();
    const list = listEntries(gateway.membership, exchange.team?.id ?? "", {
      nowMs,
      allowed,
    });
    return Promise.resolve(ok(createJsonReply(200, list)));
  };
}

function createRouteParts(
  gateway: Gateway,
): Parameters<typeof createRouteCall>[0] {
  const { backend, clock, metrics, options, peers, random, self } =
    gateway.parts;
  const linkMs = new Map<RegionId, number>();
  const askedMs = new Map<string, number>();
  const askCredits = async (region: RegionId, service: string) => {
    const key = `${region}/${service}`;
    const nowMs = clock.nowMs();
    if (nowMs - (askedMs.get(key) ?? -Infinity) < ASK_INTERVAL_MS) return;
    askedMs.set(key, nowMs);
    const gateways = gateway.membership.readGateways(region, nowMs);
    const record = gateways[Math.floor(random.nextFloat() * gateways.length)];
    if (record === undefined) return;
    const params = { from: self.id, service, wanted: CREDITS_WANTED };
    const grant = await peers.call(record, "credits.grant", params);
    if (grant.isErr()) return;
    linkMs.set(region, clock.nowMs() - nowMs);
    const purse: CreditPurse = gateway.readPurse(service);
    purse.record(grant.value, { region, gateway: record.id, askedMs: nowMs });
  };
  return {
    policies: gateway.parts.policies ?? {},
    clock,
    random,
    backend,
    region: self.region,
    self: self.id,
    configuration: gateway.configuration,
    membership: gateway.membership,
    peerToken: options.peerToken,
    retries: gateway.retries,
    quarantine: gateway.quarantine,
    ledger: gateway.ledger,
    readPool: (service) => gateway.readPool(service),
    readPurse: (service) => gateway.readPurse(service),
    recordUsage: (exchange, tokens) => gateway.recordUsage(exchange, tokens),
    askCredits: (region, service) => void askCredits(region, service),
    readLinkMs: (region) => linkMs.get(region) ?? DEFAULT_LINK_MS,
    recordRoute: (exchange, route) =>
      metrics.count("route.count", 1, {
        service: exchange.call?.service ?? "",
        route,
      }),
  };
}
