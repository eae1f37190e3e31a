import { err, ok, type Result } from "neverthrow";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import {
  type CreditLedger,
  type CreditPurse,
  decideRegion,
  type RegionDecision,
  type RegionOption,
} from "../routing/mod.ts";
import {
  type Call,
  type Exchange,
  type Filter,
  readCall,
  type Reply,
} from "./exchange.ts";
import { forwardCall, type ForwardParts } from "./forward_call.ts";
import { refuseQuarantined, serveHere } from "./serve_here.ts";

/** What routing needs. */
export interface RouteParts extends ForwardParts {
  /** Credits granted to others, by this gateway. */
  readonly ledger: CreditLedger;
  /** Credits that others granted, by service. */
  readonly readPurse: (service: string) => CreditPurse;
  /** Asks a region for credits; returns at once. */
  readonly askCredits: (region: RegionId, service: string) => void;
  /** Round trip to a region, in milliseconds. */
  readonly readLinkMs: (region: RegionId) => number;
  readonly recordRoute: (
    exchange: Exchange,
    route: "home" | "away" | "received",
  ) => void;
}

/** Returns the last filter: serves at home, or forwards to one other region. */
export function createRouteCall(parts: RouteParts): Filter {
  const away = new Set<string>();
  return async (exchange) => {
    const call = readCall(exchange);
    const refused = refuseQuarantined(parts, exchange);
    if (refused !== undefined) return err(refused);
    if (exchange.origin.kind === "peer") {
      return await serveForwarded(parts, exchange, exchange.origin.from);
    }
    const decision = decide(parts, exchange, away.has(call.service));
    switch (decision.kind) {
      case "home":
        away.delete(call.service);
        break;
      case "home-and-ask":
        parts.askCredits(decision.region, call.service);
        break;
      case "away":
        away.add(call.service);
        return await serveAway(parts, exchange, decision.region);
      case "nowhere":
        break;
    }
    if (!isAllowedHere(parts, exchange) || !hasServers(parts, call)) {
      return await serveWhereAllowed(parts, exchange);
    }
    parts.recordRoute(exchange, "home");
    return await serveHere(parts, exchange);
  };
}

/** A forwarded request needs a credit, and is served here or not at all. */
async function serveForwarded(
  parts: RouteParts,
  exchange: Exchange,
  from: InstanceId,
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  const isBound = exchange.request.headers["x-forwarded-bound"] === "true";
  if (
    !isBound && !parts.ledger.admit(from, call.service, parts.clock.nowMs())
  ) {
    return err(
      createFailure("CREDIT_REFUSED", `No credit for ${call.service} is held`),
    );
  }
  parts.recordRoute(exchange, "received");
  return await serveHere(parts, exchange);
}

function decide(
  parts: RouteParts,
  exchange: Exchange,
  wasAway: boolean,
): RegionDecision {
  const call = readCall(exchange);
  const isHomeAllowed = isAllowedHere(parts, exchange) &&
    hasServers(parts, call);
  if (call.kind === "plain") {
    return { kind: isHomeAllowed ? "home" : "nowhere" };
  }
  const pool = parts.readPool(call.service);
  const homeMs = isHomeAllowed
    ? pool.estimateFirstTokenMs(call.size)
    : undefined;
  if (
    isHomeAllowed && homeMs === undefined &&
    readOptions(parts, exchange).length === 0
  ) {
    return { kind: "home" };
  }
  const fastest = Math.max(
    0.05,
    ...pool.engines.map((engine) => engine.prefillTokensPerMs),
  );
  return (parts.policies.decideRegion ?? decideRegion)({
    homeMs,
    coldMs: call.size.prefixTokens / fastest,
    aimMs: call.firstTokenMs,
    wasAway,
    options: readOptions(parts, exchange),
  });
}

function readOptions(
  parts: RouteParts,
  exchange: Exchange,
): readonly RegionOption[] {
  const call = readCall(exchange);
  const nowMs = parts.clock.nowMs();
  const purse = parts.readPurse(call.service);
  return parts.membership.readDigests(nowMs)
    .filter(({ digest }) => exchange.allowed?.has(digest.region) ?? true)
    .flatMap(({ digest, ageMs }) =>
      digest.services.filter(({ service }) => service === call.service)
        .map(({ spare, firstTokenMs }) => ({
          region: digest.region,
          spare,
          firstTokenMs,
          ageMs,
          linkMs: parts.readLinkMs(digest.region),
          credits: purse.count(digest.region, nowMs),
        }))
    );
}

async function serveAway(
  parts: RouteParts,
  exchange: Exchange,
  region: RegionId,
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  if (parts.policies.ignoresCredits) {
    return await serveBound(parts, exchange, region);
  }
  const gateway = parts.readPurse(call.service).take(
    region,
    parts.clock.nowMs(),
  );
  const record = gateway && parts.membership.readRecord(gateway);
  if (!record) return await serveWhereAllowed(parts, exchange);
  parts.recordRoute(exchange, "away");
  const forwarded = await forwardCall(parts, exchange, record);
  if (forwarded.isOk()) return ok(forwarded.value);
  const { failure, mayGoOn } = forwarded.error;
  if (!mayGoOn || !isAllowedHere(parts, exchange) || !hasServers(parts, call)) {
    return err(failure);
  }
  parts.recordRoute(exchange, "home");
  return await serveHere(parts, exchange);
}

/**
 * Serves a request that home may not or cannot serve at all: in an allowed
 * region that has servers, without credit, since it has nowhere else to go.
 */
async function serveWhereAllowed(
  parts: RouteParts,
  exchange: Exchange,
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  if (isAllowedHere(parts, exchange) && hasServers(parts, call)) {
    parts.recordRoute(exchange, "home");
    return await serveHere(parts, exchange);
  }
  return await forwardBound(
    parts,
    exchange,
    readBoundGateways(parts, exchange),
  );
}

async function serveBound(
  parts: RouteParts,
  exchange: Exchange,
  region: RegionId,
): Promise<Result<Reply, Failure>> {
  const records = parts.membership.readGateways(region, parts.clock.nowMs());
  const at = Math.floor(parts.random.nextFloat() * records.length);
  return await forwardBound(parts, exchange, records.slice(at, at + 1));
}

async function forwardBound(
  parts: RouteParts,
  exchange: Exchange,
  records: readonly InstanceRecord[],
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  let last: Failure | undefined;
  for (const record of records) {
    parts.recordRoute(exchange, "away");
    const bound = {
      ...exchange,
      request: {
        ...exchange.request,
        headers: { ...exchange.request.headers, "x-forwarded-bound": "true" },
      },
    };
    const forwarded = await forwardCall(parts, bound, record);
    if (forwarded.isOk()) return ok(forwarded.value);
    last = forwarded.error.failure;
    if (!forwarded.error.mayGoOn) break;
  }
  if (last !== undefined) return err(last);
  const message =
    `No allowed region that can be reached serves ${call.service}`;
  const isForbidden = !isAllowedHere(parts, exchange);
  return err(
    createFailure(isForbidden ? "RESIDENCY_REFUSED" : "NO_ENGINE", message),
  );
}

const BOUND_TRIES = 2;

function readBoundGateways(
  parts: RouteParts,
  exchange: Exchange,
): readonly InstanceRecord[] {
  const call = readCall(exchange);
  const regions = parts.configuration.view.regionsByService.get(call.service) ??
    [];
  return regions.filter((region) => region !== parts.region)
    .filter((region) => exchange.allowed?.has(region) ?? true)
    .flatMap((region) =>
      parts.membership.readGateways(region, parts.clock.nowMs())
    )
    .slice(0, BOUND_TRIES);
}

function isAllowedHere(parts: RouteParts, exchange: Exchange): boolean {
  return exchange.allowed?.has(parts.region) ?? true;
}

function hasServers(parts: RouteParts, call: Call): boolean {
  return parts.readPool(call.service).engines.some(({ server }) =>
    !server.isLeaving
  );
}
