import { err, ok, type Result } from "neverthrow";
import type { InstanceId, RegionId } from "../ids/mod.ts";
import type { InstanceRecord } from "../membership/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import {
  type CreditBalance,
  type CreditLedger,
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
import { refuseQuarantined, serveLocally } from "./serve_locally.ts";

/** Dependencies of routing. */
export interface RouteParts extends ForwardParts {
  /** Credits that this instance has granted to instances of other regions. */
  readonly ledger: CreditLedger;
  /** Returns the credits for a service that other regions have granted to this instance. */
  readonly readPurse: (service: string) => CreditBalance;
  /** Requests credits for a service from a region; returns at once. */
  readonly askCredits: (region: RegionId, service: string) => void;
  /** Returns the round-trip time to a region, in milliseconds. */
  readonly readRoundTripMs: (region: RegionId) => number;
  readonly recordRoute: (
    exchange: Exchange,
    route: "home" | "away" | "received",
  ) => void;
}

/**
 * Returns the last filter of a chain, which serves a call in its home region or
 * forwards it to another region, or to another instance that may reach the region's servers.
 */
export function createRouteCall(parts: RouteParts): Filter {
  const remoteServices = new Set<string>();
  return async (exchange) => {
    const call = readCall(exchange);
    const refusal = refuseQuarantined(parts, exchange);
    if (refusal !== undefined) return err(refusal);
    if (exchange.origin.kind === "peer") {
      return await serveForwarded(parts, exchange, exchange.origin.from);
    }
    const decision = decideRoute(
      parts,
      exchange,
      remoteServices.has(call.service),
    );
    switch (decision.kind) {
      case "home":
        remoteServices.delete(call.service);
        break;
      case "home-and-ask":
        parts.askCredits(decision.region, call.service);
        break;
      case "away":
        remoteServices.add(call.service);
        return await forwardWithCredit(parts, exchange, decision.region);
      case "nowhere":
        break;
    }
    if (!isOwnRegionAllowed(parts, exchange) || !hasServers(parts, call)) {
      return await serveWhereAllowed(parts, exchange);
    }
    return await serveAtHome(parts, exchange);
  };
}

/**
 * Serves a caller's request in this region. If this instance reaches no server, another
 * instance of the region may: the request did not run, so it is forwarded there.
 */
async function serveAtHome(
  parts: RouteParts,
  exchange: Exchange,
): Promise<Result<Reply, Failure>> {
  parts.recordRoute(exchange, "home");
  const served = await serveLocally(parts, exchange);
  if (served.isOk() || served.error.name !== "NO_ENGINE") return served;
  const neighbors = listNeighbors(parts);
  return neighbors.length === 0
    ? served
    : await forwardWithoutCredit(parts, exchange, neighbors);
}

/** Returns other live instances of this region, a few in random order. */
function listNeighbors(
  { membership, random, self }: RouteParts,
): readonly InstanceRecord[] {
  return membership.liveIds.filter((id) => id !== self)
    .flatMap((id) => membership.readRecord(id) ?? [])
    .map((record) => ({ record, order: random.nextFloat() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_FORWARDS_WITHOUT_CREDIT)
    .map(({ record }) => record);
}

/**
 * Serves a forwarded request in this region or refuses it. The request needs a
 * credit, unless its sender had no other region for it.
 */
async function serveForwarded(
  parts: RouteParts,
  exchange: Exchange,
  from: InstanceId,
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  const skipsCredit = exchange.request.headers["x-forwarded-bound"] === "true";
  if (
    !skipsCredit && !parts.ledger.admit(from, call.service, parts.clock.nowMs())
  ) {
    return err(
      createFailure("CREDIT_REFUSED", `No credit for ${call.service} is held`),
    );
  }
  parts.recordRoute(exchange, "received");
  return await serveLocally(parts, exchange);
}

function decideRoute(
  parts: RouteParts,
  exchange: Exchange,
  wasAway: boolean,
): RegionDecision {
  const call = readCall(exchange);
  const isHomeAllowed = isOwnRegionAllowed(parts, exchange) &&
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
    listRegionOptions(parts, exchange).length === 0
  ) {
    return { kind: "home" };
  }
  const maxPrefillTokensPerMs = Math.max(
    0.05,
    ...pool.engines.map((engine) => engine.prefillTokensPerMs),
  );
  return (parts.policies.decideRegion ?? decideRegion)({
    homeMs,
    coldMs: call.size.prefixTokens / maxPrefillTokensPerMs,
    aimMs: call.firstTokenMs,
    wasAway,
    options: listRegionOptions(parts, exchange),
  });
}

function listRegionOptions(
  parts: RouteParts,
  exchange: Exchange,
): readonly RegionOption[] {
  const call = readCall(exchange);
  const nowMs = parts.clock.nowMs();
  const purse = parts.readPurse(call.service);
  return parts.membership.readDigests(nowMs)
    .filter(({ digest }) => exchange.allowedRegions?.has(digest.region) ?? true)
    .flatMap(({ digest, ageMs }) =>
      digest.services.filter(({ service }) => service === call.service)
        .map(({ spare, firstTokenMs }) => ({
          region: digest.region,
          spare,
          firstTokenMs,
          ageMs,
          linkMs: parts.readRoundTripMs(digest.region),
          credits: purse.count(digest.region, nowMs),
        }))
    );
}

async function forwardWithCredit(
  parts: RouteParts,
  exchange: Exchange,
  region: RegionId,
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  if (parts.policies.ignoresCredits) {
    return await forwardToRandomInstance(parts, exchange, region);
  }
  const instanceId = parts.readPurse(call.service).spend(
    region,
    parts.clock.nowMs(),
  );
  const instance = instanceId && parts.membership.readRecord(instanceId);
  if (!instance) return await serveWhereAllowed(parts, exchange);
  parts.recordRoute(exchange, "away");
  const forwarded = await forwardCall(parts, exchange, instance);
  if (forwarded.isOk()) return ok(forwarded.value);
  const { failure, mayRetryElsewhere } = forwarded.error;
  if (
    !mayRetryElsewhere || !isOwnRegionAllowed(parts, exchange) ||
    !hasServers(parts, call)
  ) {
    return err(failure);
  }
  return await serveAtHome(parts, exchange);
}

/**
 * Serves a request in its home region if that is possible. Else forwards it to another
 * allowed region that has servers, without a credit, since no other destination is left.
 */
async function serveWhereAllowed(
  parts: RouteParts,
  exchange: Exchange,
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  if (isOwnRegionAllowed(parts, exchange) && hasServers(parts, call)) {
    return await serveAtHome(parts, exchange);
  }
  return await forwardWithoutCredit(
    parts,
    exchange,
    listInstancesElsewhere(parts, exchange),
  );
}

async function forwardToRandomInstance(
  parts: RouteParts,
  exchange: Exchange,
  region: RegionId,
): Promise<Result<Reply, Failure>> {
  const instances = parts.membership.readGateways(region, parts.clock.nowMs());
  const index = Math.floor(parts.random.nextFloat() * instances.length);
  return await forwardWithoutCredit(
    parts,
    exchange,
    instances.slice(index, index + 1),
  );
}

async function forwardWithoutCredit(
  parts: RouteParts,
  exchange: Exchange,
  instances: readonly InstanceRecord[],
): Promise<Result<Reply, Failure>> {
  const call = readCall(exchange);
  let lastFailure: Failure | undefined;
  for (const instance of instances) {
    parts.recordRoute(exchange, "away");
    const uncreditedExchange = {
      ...exchange,
      request: {
        ...exchange.request,
        headers: { ...exchange.request.headers, "x-forwarded-bound": "true" },
      },
    };
    const forwarded = await forwardCall(parts, uncreditedExchange, instance);
    if (forwarded.isOk()) return ok(forwarded.value);
    lastFailure = forwarded.error.failure;
    if (!forwarded.error.mayRetryElsewhere) break;
  }
  if (lastFailure !== undefined) return err(lastFailure);
  const message =
    `No allowed region that can be reached serves ${call.service}`;
  const isForbidden = !isOwnRegionAllowed(parts, exchange);
  return err(
    createFailure(isForbidden ? "RESIDENCY_REFUSED" : "NO_ENGINE", message),
  );
}

/** Maximum number of instances that one request is forwarded to without a credit. */
const MAX_FORWARDS_WITHOUT_CREDIT = 2;

function listInstancesElsewhere(
  parts: RouteParts,
  exchange: Exchange,
): readonly InstanceRecord[] {
  const call = readCall(exchange);
  const regions = parts.configuration.view.regionsByService.get(call.service) ??
    [];
  return regions.filter((region) => region !== parts.region)
    .filter((region) => exchange.allowedRegions?.has(region) ?? true)
    .flatMap((region) =>
      parts.membership.readGateways(region, parts.clock.nowMs())
    )
    .slice(0, MAX_FORWARDS_WITHOUT_CREDIT);
}

function isOwnRegionAllowed(parts: RouteParts, exchange: Exchange): boolean {
  return exchange.allowedRegions?.has(parts.region) ?? true;
}

function hasServers(parts: RouteParts, call: Call): boolean {
  return parts.readPool(call.service).engines.some(({ server }) =>
    !server.isLeaving
  );
}
