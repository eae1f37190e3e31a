import type { Random } from "../clock/mod.ts";
import { pickRandom } from "../clock/mod.ts";
import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import { mayServe } from "../http_routes/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import {
  type CallNeeds,
  type Candidate,
  type EligibleServer,
  FIRST_RANK_BONUS_MS,
  type ServerChooser,
} from "./choose_server.ts";
import type { Exchange } from "./exchange.ts";

/** Where a call is sent next, or why it is sent nowhere now. */
export type Destination =
  | { readonly kind: "local"; readonly candidate: Candidate }
  | {
    readonly kind: "remote";
    readonly member: MemberRecord;
    readonly region: RegionId;
    readonly candidate: Candidate;
  }
  /** Every eligible server is at capacity now; one of them may free some. */
  | { readonly kind: "wait" }
  /**
   * All servers that may run the call are cooling down. The first cool-down ends at
   * `untilMs`, on this instance's clock.
   */
  | { readonly kind: "cooling-down"; readonly untilMs: number }
  /**
   * Every server that isn't cooling down has used up its rate limit. The first of them
   * takes calls again at `untilMs`.
   */
  | { readonly kind: "rate-limited"; readonly untilMs: number }
  /**
   * The call was sent to every server before. The first server takes a new call at
   * `untilMs`.
   */
  | { readonly kind: "tried"; readonly untilMs: number }
  /** No server is known that may run the call. */
  | { readonly kind: "no-server" };

/** Why a call has no destination now. */
export type NoDestination = Exclude<
  Destination,
  { readonly kind: "local" | "remote" }
>;

/**
 * Round trip to another region before it is measured, in milliseconds. The
 * requirements assume tens of milliseconds each way.
 */
const INITIAL_ROUND_TRIP_MS = 110;
/** Weight of a new measurement in the moving average. */
const ROUND_TRIP_WEIGHT = 0.1;
/**
 * Fraction of the response-time objective by which a remote region must be faster
 * than the local one. A call that is sent there costs traffic between regions and
 * meets a cold cache.
 */
const REMOTE_MARGIN_FRACTION = 0.05;

/** What destinations are chosen from. */
export interface DestinationChooserParts {
  readonly fleet: FleetView;
  readonly servers: Pick<ServerChooser, "choose" | "listEligible">;
  readonly random: Random;
  readonly listRegions: () => readonly RegionId[];
}

/** Chooses between the servers of the local region and those of remote regions. */
export class DestinationChooser {
  readonly #parts: DestinationChooserParts;
  readonly #roundTripMs = new Map<RegionId, number>();
  /** Prompt tokens of own calls in transit to remote regions; no load report includes them yet. */
  readonly #tokensInTransit = new Map<RegionId, number>();

  /** @param parts Views of instances and servers. */
  constructor(parts: DestinationChooserParts) {
    this.#parts = parts;
  }

  /**
   * Returns where a call is sent next.
   *
   * @param exchange The call.
   * @param nowMs Time now.
   */
  choose(exchange: Exchange, nowMs: number): Destination {
    const own = this.#parts.fleet.self.region;
    const needs = toNeeds(exchange);
    const isForwarded = exchange.call.origin.kind === "instance";
    const allowed = listAllowedRegions(exchange, this.#parts.listRegions());
    const local = allowed.includes(own)
      ? this.#parts.servers.choose(needs, own, nowMs)
      : undefined;
    const marginMs = REMOTE_MARGIN_FRACTION * exchange.route.targetMs;
    // The round trip alone costs more than the local server: no server there can be cheaper.
    const isTooFar = (region: RegionId) =>
      local !== undefined &&
      local.costMs <=
        this.readRoundTripMs(region) - FIRST_RANK_BONUS_MS + marginMs;
    const others = isForwarded
      ? []
      : allowed.filter((region) =>
        region !== own && !exchange.avoidedRegions.has(region) &&
        !isTooFar(region)
      );
    const remote = this.#chooseRemote(exchange, needs, others, nowMs);
    if (local === undefined && remote === undefined) {
      const reachable = isForwarded
        ? allowed.filter((region) => region === own)
        : allowed;
      return this.#explain(exchange, reachable, nowMs);
    }
    const staysLocal = local !== undefined &&
      (remote === undefined ||
        local.costMs <= remote.candidate.costMs + marginMs);
    return staysLocal ? { kind: "local", candidate: local! } : remote!;
  }

  /** Returns the mean round trip to another region, in milliseconds. */
  readRoundTripMs(region: RegionId): number {
    return this.#roundTripMs.get(region) ?? INITIAL_ROUND_TRIP_MS;
  }

  /** Records a measured round trip to another region, in milliseconds. */
  recordRoundTrip(region: RegionId, roundTripMs: number): void {
    const known = this.readRoundTripMs(region);
    this.#roundTripMs.set(
      region,
      known + ROUND_TRIP_WEIGHT * (Math.max(0, roundTripMs) - known),
    );
  }

  /**
   * Adds the prompt tokens of a call that is sent to another region. A negative number
   * takes them off again when the call has arrived.
   */
  addInTransit(region: RegionId, tokens: number): void {
    const sum = (this.#tokensInTransit.get(region) ?? 0) + tokens;
    this.#tokensInTransit.set(region, Math.max(0, sum));
  }

  #chooseRemote(
    exchange: Exchange,
    needs: CallNeeds,
    regions: readonly RegionId[],
    nowMs: number,
  ): Extract<Destination, { kind: "remote" }> | undefined {
    const { fleet, random, servers } = this.#parts;
    const options = regions.flatMap((region) => {
      const candidate = servers.choose(needs, region, nowMs, {
        extraTokens: this.#tokensInTransit.get(region) ?? 0,
        roundTripMs: this.readRoundTripMs(region),
      });
      if (candidate === undefined) return [];
      const members = fleet.listResponsive(region, nowMs)
        .filter(({ id }) => !exchange.avoidedInstances.has(id));
      const member = pickRandom(members, random);
      if (member === undefined) return [];
      return [{ kind: "remote", member, region, candidate } as const];
    });
    return options.sort((a, b) => a.candidate.costMs - b.candidate.costMs)[0];
  }

  /** Returns why no server can take a call now. */
  #explain(
    { service, tried }: Exchange,
    regions: readonly RegionId[],
    nowMs: number,
  ): NoDestination {
    const eligible = regions.flatMap((region) =>
      this.#parts.servers.listEligible(service.name, region, nowMs)
    );
    const untried = eligible.filter(({ id }) => !tried.has(id));
    if (eligible.length === 0) return { kind: "no-server" };
    if (untried.length === 0) {
      return { kind: "tried", untilMs: findFirstCooldownEndMs(eligible) };
    }
    const ready = untried.filter(({ cooldownUntilMs }) =>
      cooldownUntilMs <= nowMs
    );
    if (ready.length === 0) {
      return { kind: "cooling-down", untilMs: findFirstCooldownEndMs(untried) };
    }
    const untilMs = Math.min(
      ...ready.map(({ limitedUntilMs }) => limitedUntilMs),
    );
    return untilMs > nowMs
      ? { kind: "rate-limited", untilMs }
      : { kind: "wait" };
  }
}

function findFirstCooldownEndMs(servers: readonly EligibleServer[]): number {
  return Math.min(...servers.map(({ cooldownUntilMs }) => cooldownUntilMs));
}

/**
 * Returns the regions that may serve a call: the home regions of both its route and
 * its team, where these have any, or else all.
 */
function listAllowedRegions(
  { access, route }: Exchange,
  regions: readonly RegionId[],
): readonly RegionId[] {
  return regions.filter((region) =>
    mayServe(route, region) && mayServe(access, region)
  );
}

function toNeeds(exchange: Exchange): CallNeeds {
  const {
    facts,
    maxTokenGapMs: maxTokenGapMs,
    promptParts: parts,
    route,
    service,
    tried,
  } = exchange;
  return {
    service,
    route: route.name,
    parts,
    promptTokens: facts.prompt?.promptTokens ?? 0,
    maxOutputTokens: facts.prompt?.maxOutputTokens ?? 0,
    targetMs: route.targetMs,
    maxTokenGapMs,
    tried,
  };
}
