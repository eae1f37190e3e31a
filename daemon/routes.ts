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
import type { CreditBalance } from "../routing/mod.ts";
import { readAllowedRegions } from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { Gateway } from "./gateway.ts";

/** Routes of an instance, each with its chain of filters. */
export interface Routes {
  /** Runs the filter chain of a request's path. */
  handle(exchange: Exchange): Promise<Result<Reply, Failure>>;
  /** Runs the filter chain of a batch item, whose team is known. */
  handleBatchItem(exchange: Exchange): Promise<Result<Reply, Failure>>;
  /** Returns whether an `authorization` header contains the token that instances share. */
  isPeerToken(header: string | undefined): boolean;
}

/** Path of a plain service, with its name and the rest of the path. */
const SERVICE_PATH = /^\/services\/([^/]+)\/(.*)$/;
/** Number of credits requested from a region at a time. */
const CREDITS_PER_REQUEST = 8;
/** Minimum interval between requests for credits of one region and service, in milliseconds. */
const CREDIT_REQUEST_INTERVAL_MS = 100;
/** Assumed round trip time to a region before the first measurement, in milliseconds. */
const DEFAULT_ROUND_TRIP_MS = 60;

/**
 * Creates the routes of an instance.
 *
 * @param gateway Gateway of the instance.
 */
export function createRoutes(gateway: Gateway): Routes {
  const router = createRouter({
    ignoreTrailingSlash: true,
    maxParamLength: 300,
  });
  const addRoute = (
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
  const identifyOrigin = createOriginFilter(gateway, identify);
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
  const refuseIfNotReady = createRefuseIfNotReady(gateway);
  const modelChain = composeFilters([
    refuseIfNotReady,
    identifyOrigin,
    limits,
    createParseModelCall({ configuration, clock }),
    ...serve,
  ]);
  const plainChain = composeFilters([
    refuseIfNotReady,
    identifyOrigin,
    limits,
    createParsePlainCall({ configuration, clock }),
    ...serve,
  ]);
  const modelItemChain = composeFilters([
    createParseModelCall({ configuration, clock }),
    ...serve,
  ]);
  const plainItemChain = composeFilters([
    createParsePlainCall({ configuration, clock }),
    ...serve,
  ]);
  addRoute("POST", "/v1/chat/completions", modelChain);
  addRoute("POST", "/v1/completions", modelChain);
  addRoute(
    ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
    "/services/:name/*",
    plainChain,
  );
  addRoute(
    "GET",
    "/v1/models",
    composeFilters([identify, createListModels(gateway)]),
  );
  addRoute(
    "GET",
    "/v1/entries",
    composeFilters([identify, createListEntries(gateway)]),
  );
  addRoute(
    "GET",
    "/healthz",
    () => Promise.resolve(ok(createJsonReply(200, { status: "ok" }))),
  );
  addRoute("GET", "/readyz", createReadReadiness(gateway));
  BATCH_HANDLERS.forEach(({ method, path, handler }) =>
    addRoute(
      method,
      path,
      composeFilters([refuseIfNotReady, identify, handler(gateway)]),
    )
  );
  RESOURCE_HANDLERS.forEach(({ method, path, handler }) =>
    addRoute(
      method,
      path,
      composeFilters([identifyOperator, toFilter(gateway, handler)]),
    )
  );
  const peerTokenHash = hashHeader(`Bearer ${options.peerToken}`);
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
      return await filter(
        Object.assign(exchange, { params }),
        failUnhandled,
      );
    },
    handleBatchItem: async (exchange) => {
      const match = SERVICE_PATH.exec(exchange.request.path);
      if (match === null) return await modelItemChain(exchange, failUnhandled);
      const params = { "name": match[1], "*": match[2] };
      return await plainItemChain(
        Object.assign(exchange, { params }),
        failUnhandled,
      );
    },
    isPeerToken: (header) =>
      header !== undefined &&
      timingSafeEqual(hashHeader(header), peerTokenHash),
  };
}

function hashHeader(header: string): Buffer {
  return createHash("sha256").update(header).digest();
}

function failUnhandled(): never {
  throw new Error(
    "Want a reply from the last filter of the chain, got a call of next()",
  );
}

/**
 * Creates a filter that identifies the team of a request. For a request from a peer this is
 * the team that the peer has identified, named in a header.
 */
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

function createRefuseIfNotReady(gateway: Gateway): Filter {
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
  const roundTripMs = new Map<RegionId, number>();
  const requestedMs = new Map<string, number>();
  const requestCredits = async (region: RegionId, service: string) => {
    const key = `${region}/${service}`;
    const nowMs = clock.nowMs();
    if (
      nowMs - (requestedMs.get(key) ?? -Infinity) < CREDIT_REQUEST_INTERVAL_MS
    ) return;
    requestedMs.set(key, nowMs);
    const gateways = gateway.membership.readGateways(region, nowMs);
    const record = gateways[Math.floor(random.nextFloat() * gateways.length)];
    if (record === undefined) return;
    const params = { from: self.id, service, wanted: CREDITS_PER_REQUEST };
    const grant = await peers.call(record, "credits.grant", params);
    if (grant.isErr()) return;
    roundTripMs.set(region, clock.nowMs() - nowMs);
    const purse: CreditBalance = gateway.readPurse(service);
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
    askCredits: (region, service) => void requestCredits(region, service),
    readRoundTripMs: (region) =>
      roundTripMs.get(region) ?? DEFAULT_ROUND_TRIP_MS,
    recordRoute: (exchange, route) =>
      metrics.count("route.count", 1, {
        service: exchange.call?.service ?? "",
        route,
      }),
  };
}
