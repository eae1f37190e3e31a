import { pickByCapacity } from "../capacity/mod.ts";
import type { Random } from "../clock/mod.ts";
import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import { mayServe } from "../http_routes/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import {
  type CallNeeds,
  type Candidate,
  type ChooseServerOptions,
  type EligibleServer,
  FIRST_RANK_BONUS_MS,
  type ServerChooser,
} from "./choose_server.ts";
import { type Exchange, hasOtherDestination } from "./exchange.ts";
import type { ServerReachability } from "./server_reachability.ts";
import type { ServerFilter, ServerVersions } from "./server_versions.ts";

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
  | { readonly kind: "no-server" }
  /** This instance reaches none of the servers, and knows no other instance that does. */
  | { readonly kind: "unreachable" };

/** An instance that a call is forwarded to, and the server that it will probably choose. */
export type RemoteDestination = Extract<
  Destination,
  { readonly kind: "remote" }
>;

/** Why a call has no destination now. */
export type NoDestination = Exclude<
  Destination,
  { readonly kind: "local" | "remote" }
>;

/** A server or an instance that a call can be sent to. */
type SendableDestination = Exclude<Destination, NoDestination>;

/** Returns which servers of a region a call may use by their versions. */
type RegionFilter = (region: RegionId) => ServerFilter;

/** How a server of another region is chosen. */
type RemoteChoice = Pick<ChooseServerOptions, "includesFull"> & {
  readonly createFilter: RegionFilter;
};

/**
 * Round trip to another region before it is measured, in milliseconds. The
 * requirements assume tens of milliseconds each way.
 */
const INITIAL_ROUND_TRIP_MS = 110;
/** Round trip to an instance of the local region before it is measured, in milliseconds. */
const INITIAL_LOCAL_ROUND_TRIP_MS = 2;
/** Weight of a new measurement in the moving average. */
const ROUND_TRIP_WEIGHT = 0.1;
/**
 * Fraction of the response-time objective by which a remote region must be faster
 * than the local one. A call that is sent there costs traffic between regions and
 * meets a cold cache.
 */
const REMOTE_MARGIN_FRACTION = 0.05;

/**
 * Number of instances that may have refused or lost a call before it is sent to no more
 * instances of the local region, while only its service fails here: the servers are the more
 * likely cause then.
 */
const MAX_NEIGHBORS_OF_LOST_SERVICE = 2;

/** What destinations are chosen from. */
export interface DestinationChooserParts {
  readonly fleet: FleetView;
  readonly servers: Pick<ServerChooser, "choose" | "listEligible">;
  readonly reachability: ServerReachability;
  /** Which servers a call may use by their versions. */
  readonly versions: ServerVersions;
  readonly random: Random;
  readonly listRegions: () => readonly RegionId[];
}

/**
 * Chooses between the servers of the local region and those of remote regions. Where all
 * servers of the local region fail for this instance, one of its other instances may still
 * reach them.
 */
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
   * Returns where a call is sent next. The send must begin before the next wait: which
   * servers the call may use by their versions can change at any time.
   *
   * @param exchange The call.
   * @param nowMs Time now.
   */
  choose(exchange: Exchange, nowMs: number): Destination {
    const { versions } = this.#parts;
    const drawn = versions.drawFirst(exchange);
    const first = drawn && this.#chooseDrawn(exchange, drawn, nowMs);
    if (first !== undefined) return first;
    return this.#chooseAmong(
      exchange,
      nowMs,
      (region) => versions.createRepeatFilter(exchange, region),
    );
  }

  /** Returns a destination at the version that was drawn for a call, or `undefined` without one. */
  #chooseDrawn(
    exchange: Exchange,
    drawn: NonNullable<ReturnType<ServerVersions["drawFirst"]>>,
    nowMs: number,
  ): SendableDestination | undefined {
    const { fleet: { self: { region: own } }, servers, versions } = this.#parts;
    const isAllowed = versions.createFilter(drawn);
    if (drawn.kind === "destination") {
      const found = this.#chooseAmong(exchange, nowMs, () => isAllowed);
      return found.kind === "local" || found.kind === "remote"
        ? found
        : undefined;
    }
    // An instance counts the canary calls that it sends to servers itself. A call that is
    // forwarded is drawn again by the instance that receives it.
    const isHome = listAllowedRegions(exchange, [own]).length > 0;
    const candidate = isHome
      ? servers.choose(toNeeds(exchange, exchange.unreached), own, nowMs, {
        among: "working",
        isAllowed,
      })
      : undefined;
    return candidate && { kind: "local", candidate };
  }

  /** Returns where a call is sent next among the servers that it may use in each region. */
  #chooseAmong(
    exchange: Exchange,
    nowMs: number,
    createFilter: RegionFilter,
  ): Destination {
    const { fleet: { self: { region: own } }, servers } = this.#parts;
    const isAllowed = createFilter(own);
    const localNeeds = toNeeds(exchange, exchange.unreached);
    const isForwarded = exchange.call.origin.kind === "instance";
    const allowed = listAllowedRegions(exchange, this.#parts.listRegions());
    const isHome = allowed.includes(own);
    const local = isHome
      ? servers.choose(localNeeds, own, nowMs, { among: "working", isAllowed })
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
    const remote = this.#chooseRemote(exchange, others, nowMs, {
      createFilter,
    });
    const asksNeighbors = isHome && !isForwarded && local === undefined;
    const elsewhere = asksNeighbors
      ? this.#addNeighbor(exchange, remote, nowMs, createFilter)
      : remote;
    const isCheaper = elsewhere !== undefined &&
      (local === undefined ||
        local.costMs > elsewhere.candidate.costMs + marginMs);
    if (isCheaper) return elsewhere;
    if (local !== undefined) return { kind: "local", candidate: local };
    // A destination that fails for this instance is no better than the one that is silent.
    const lastResort = isHome && !hasOtherDestination(exchange)
      ? this.#chooseLastResort(exchange, localNeeds, nowMs, isAllowed)
      : undefined;
    if (lastResort !== undefined) {
      return { kind: "local", candidate: lastResort };
    }
    const reachable = isForwarded
      ? allowed.filter((region) => region === own)
      : allowed;
    const explained = this.#explain(exchange, reachable, nowMs, createFilter);
    const mayWait = !isForwarded && !hasOtherDestination(exchange);
    if (explained.kind !== "wait" || !mayWait) return explained;
    return this.#chooseWaitingPlace(exchange, allowed, nowMs, createFilter) ??
      explained;
  }

  /** Returns the mean round trip to another region, in milliseconds. */
  readRoundTripMs(region: RegionId): number {
    const isOwn = region === this.#parts.fleet.self.region;
    return this.#roundTripMs.get(region) ??
      (isOwn ? INITIAL_LOCAL_ROUND_TRIP_MS : INITIAL_ROUND_TRIP_MS);
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
    regions: readonly RegionId[],
    nowMs: number,
    { createFilter, ...choice }: RemoteChoice,
  ): RemoteDestination | undefined {
    const { fleet, random, servers } = this.#parts;
    const { onlyInstances } = exchange;
    // Only a remote instance knows which of its servers had the call that was withdrawn from it.
    const needs = { ...toNeeds(exchange), only: undefined };
    const options = regions.flatMap((region) => {
      const candidate = servers.choose(needs, region, nowMs, {
        among: "all",
        extraTokens: this.#tokensInTransit.get(region) ?? 0,
        roundTripMs: this.readRoundTripMs(region),
        isAllowed: createFilter(region),
        ...choice,
      });
      if (candidate === undefined) return [];
      const members = fleet.listResponsive(region, nowMs)
        .filter((member) =>
          mayReachServers(exchange, member) &&
          (onlyInstances?.has(member.id) ?? true)
        );
      const member = pickByCapacity(members, random);
      if (member === undefined) return [];
      return [{ kind: "remote", member, region, candidate } as const];
    });
    return options.sort((a, b) => a.candidate.costMs - b.candidate.costMs)[0];
  }

  /**
   * Returns another instance at which a call waits for servers that are at capacity, if this
   * instance is cut off from all servers. Calls that wait beside a server get its free slots
   * first; this instance would learn of them by reports.
   */
  #chooseWaitingPlace(
    exchange: Exchange,
    allowed: readonly RegionId[],
    nowMs: number,
    createFilter: RegionFilter,
  ): RemoteDestination | undefined {
    if (!this.#parts.reachability.isCutOff(nowMs)) return undefined;
    const regions = allowed.filter((region) =>
      !exchange.avoidedRegions.has(region)
    );
    return this.#chooseRemote(exchange, regions, nowMs, {
      includesFull: true,
      createFilter,
    });
  }

  /**
   * Returns the cheaper one of a destination in a remote region and another instance of the
   * local region, if all servers of the service fail for this instance. Where it reaches
   * other servers of the region, its links work, and a remote region is preferred.
   */
  #addNeighbor(
    exchange: Exchange,
    remote: RemoteDestination | undefined,
    nowMs: number,
    createFilter: RegionFilter,
  ): RemoteDestination | undefined {
    const { fleet: { self }, reachability } = this.#parts;
    const isLost = reachability.isServiceLost(exchange.service.name, nowMs);
    if (!isLost || exchange.avoidedRegions.has(self.region)) return remote;
    const isCutOff = reachability.isCutOff(nowMs);
    const mayAsk = isCutOff || remote === undefined &&
        exchange.avoidedInstances.size < MAX_NEIGHBORS_OF_LOST_SERVICE;
    if (!mayAsk) return remote;
    const neighbor = this.#chooseRemote(exchange, [self.region], nowMs, {
      createFilter,
    });
    if (neighbor === undefined || remote === undefined) {
      return neighbor ?? remote;
    }
    return neighbor.candidate.costMs <= remote.candidate.costMs
      ? neighbor
      : remote;
  }

  /**
   * Returns a server that fails for this instance. A call that was forwarded here goes back
   * instead where none of the region's servers is reached: other instances may reach them.
   */
  #chooseLastResort(
    exchange: Exchange,
    needs: CallNeeds,
    nowMs: number,
    isAllowed: ServerFilter,
  ): Candidate | undefined {
    const { fleet: { self }, reachability, servers } = this.#parts;
    const isForwarded = exchange.call.origin.kind === "instance";
    if (isForwarded && reachability.isCutOff(nowMs)) return undefined;
    return servers.choose(needs, self.region, nowMs, { isAllowed });
  }

  /** Returns whether a call may reach a server of a region, from here or by another instance. */
  #isWithinReach(
    exchange: Exchange,
    region: RegionId,
    nowMs: number,
  ): boolean {
    const { fleet, reachability } = this.#parts;
    const isOwn = region === fleet.self.region;
    if (isOwn && !reachability.isServiceLost(exchange.service.name, nowMs)) {
      return true;
    }
    return exchange.call.origin.kind === "caller" &&
      fleet.listResponsive(region, nowMs)
        .some((member) => mayReachServers(exchange, member));
  }

  /** Returns why no server can take a call now. */
  #explain(
    exchange: Exchange,
    regions: readonly RegionId[],
    nowMs: number,
    createFilter: RegionFilter,
  ): NoDestination {
    const { service, tried } = exchange;
    const eligible = regions.flatMap((region) =>
      this.#parts.servers.listEligible(
        service.name,
        region,
        nowMs,
        createFilter(region),
      )
    );
    const isOutOfReach = eligible.length > 0 &&
      !regions.some((region) => this.#isWithinReach(exchange, region, nowMs));
    if (isOutOfReach) return { kind: "unreachable" };
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

/** Returns whether an instance did not refuse a call before, and reports that it reaches servers for it. */
function mayReachServers(
  { avoidedInstances, service }: Exchange,
  { id, unreachableServices }: MemberRecord,
): boolean {
  return !avoidedInstances.has(id) &&
    !(unreachableServices?.includes(service.name) ?? false);
}

/**
 * Returns what the choice of a call's server depends on.
 *
 * @param exchange The call.
 * @param excluded Servers to exclude beside those that had the call. Default: none.
 */
function toNeeds(
  exchange: Exchange,
  excluded: ReadonlySet<BackendId> = new Set(),
): CallNeeds {
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
    only: exchange.onlyServers,
    tried: excluded.size === 0 ? tried : new Set([...tried, ...excluded]),
  };
}
