import type { Random } from "../clock/mod.ts";
import { pickRandom } from "../clock/mod.ts";
import type { FleetView, MemberRecord } from "../fleet/mod.ts";
import { mayServe } from "../http_routes/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import {
  type CallNeeds,
  type Candidate,
  FIRST_RANK_BONUS_MS,
  type OpenServer,
  type ServerChooser,
} from "./choose_server.ts";
import type { Exchange } from "./exchange.ts";

/** Where a call goes next. */
export type Place =
  | { readonly kind: "here"; readonly candidate: Candidate }
  | {
    readonly kind: "away";
    readonly member: MemberRecord;
    readonly region: RegionId;
    readonly candidate: Candidate;
  }
  /** No server has room now, but some may get it. */
  | { readonly kind: "wait" }
  /** All servers that may run the call rest, the first of them until then, on the own clock. */
  | { readonly kind: "rest"; readonly untilMs: number }
  /** Of the servers that don't rest the limits are used up, the first of them until then. */
  | { readonly kind: "limited"; readonly untilMs: number }
  /** All had the call before; a new one may be taken from then on. */
  | { readonly kind: "tried"; readonly untilMs: number }
  /** No server is known that may run the call. */
  | { readonly kind: "nowhere" };

/** Why a call goes nowhere now. */
export type NoPlace = Exclude<Place, { readonly kind: "here" | "away" }>;

/**
 * Time to another region and back before it is measured, in milliseconds: tens
 * of milliseconds each way, as the users' brief has it.
 */
const INITIAL_ROUND_TRIP_MS = 110;
/** Part that a new measurement has in the running mean. */
const ROUND_TRIP_WEIGHT = 0.1;
/**
 * Part of the objective by which another region must be faster: a call that
 * leaves costs bytes between regions and a cold cache there.
 */
const AWAY_MARGIN = 0.05;

/** What places are chosen from. */
export interface PlaceChooserParts {
  readonly fleet: FleetView;
  readonly servers: Pick<ServerChooser, "choose" | "listOpen">;
  readonly random: Random;
  readonly listRegions: () => readonly RegionId[];
}

/** Decides between the own region and another one. */
export class PlaceChooser {
  readonly #parts: PlaceChooserParts;
  readonly #roundTripMs = new Map<RegionId, number>();
  /** Prompt tokens of own calls on their way to other regions: no report counts them yet. */
  readonly #tokensUnderWay = new Map<RegionId, number>();

  /** @param parts What is known of instances and servers. */
  constructor(parts: PlaceChooserParts) {
    this.#parts = parts;
  }

  /**
   * Chooses where a call goes.
   *
   * @param exchange The call.
   * @param nowMs Time now.
   */
  choose(exchange: Exchange, nowMs: number): Place {
    const own = this.#parts.fleet.self.region;
    const needs = toNeeds(exchange);
    const isForwarded = exchange.call.origin.kind === "instance";
    const allowed = listAllowed(exchange, this.#parts.listRegions());
    const here = allowed.includes(own)
      ? this.#parts.servers.choose(needs, own, nowMs)
      : undefined;
    const marginMs = AWAY_MARGIN * exchange.route.targetMs;
    // Nobody there can be cheaper than the way: looking at each server would be for nothing.
    const isTooFar = (region: RegionId) =>
      here !== undefined &&
      here.costMs <=
        this.readRoundTripMs(region) - FIRST_RANK_BONUS_MS + marginMs;
    const others = isForwarded
      ? []
      : allowed.filter((region) =>
        region !== own && !exchange.avoidedRegions.has(region) &&
        !isTooFar(region)
      );
    const away = this.#chooseAway(exchange, needs, others, nowMs);
    if (here === undefined && away === undefined) {
      const reachable = isForwarded
        ? allowed.filter((region) => region === own)
        : allowed;
      return this.#explain(exchange, reachable, nowMs);
    }
    const staysHere = here !== undefined &&
      (away === undefined ||
        here.costMs <= away.candidate.costMs + marginMs);
    return staysHere ? { kind: "here", candidate: here! } : away!;
  }

  /** Returns how long the way to another region and back takes, in milliseconds. */
  readRoundTripMs(region: RegionId): number {
    return this.#roundTripMs.get(region) ?? INITIAL_ROUND_TRIP_MS;
  }

  /** Learns how long the way to another region and back takes. */
  recordRoundTrip(region: RegionId, roundTripMs: number): void {
    const known = this.readRoundTripMs(region);
    this.#roundTripMs.set(
      region,
      known + ROUND_TRIP_WEIGHT * (Math.max(0, roundTripMs) - known),
    );
  }

  /** Counts a call that sets out to another region, or with a negative number has arrived. */
  addUnderWay(region: RegionId, tokens: number): void {
    const sum = (this.#tokensUnderWay.get(region) ?? 0) + tokens;
    this.#tokensUnderWay.set(region, Math.max(0, sum));
  }

  #chooseAway(
    exchange: Exchange,
    needs: CallNeeds,
    regions: readonly RegionId[],
    nowMs: number,
  ): Extract<Place, { kind: "away" }> | undefined {
    const { fleet, random, servers } = this.#parts;
    const options = regions.flatMap((region) => {
      const candidate = servers.choose(needs, region, nowMs, {
        extraTokens: this.#tokensUnderWay.get(region) ?? 0,
        wayMs: this.readRoundTripMs(region),
      });
      if (candidate === undefined) return [];
      const members = fleet.listFresh(region, nowMs)
        .filter(({ id }) => !exchange.avoidedInstances.has(id));
      const member = pickRandom(members, random);
      if (member === undefined) return [];
      return [{ kind: "away", member, region, candidate } as const];
    });
    return options.sort((a, b) => a.candidate.costMs - b.candidate.costMs)[0];
  }

  /** Says why no server gets a call now. */
  #explain(
    { service, tried }: Exchange,
    regions: readonly RegionId[],
    nowMs: number,
  ): NoPlace {
    const open = regions.flatMap((region) =>
      this.#parts.servers.listOpen(service.name, region, nowMs)
    );
    const untried = open.filter(({ id }) => !tried.has(id));
    if (open.length === 0) return { kind: "nowhere" };
    if (untried.length === 0) {
      return { kind: "tried", untilMs: findFirstRestEndMs(open) };
    }
    const rested = untried.filter(({ restsUntilMs }) => restsUntilMs <= nowMs);
    if (rested.length === 0) {
      return { kind: "rest", untilMs: findFirstRestEndMs(untried) };
    }
    const untilMs = Math.min(
      ...rested.map(({ limitedUntilMs }) => limitedUntilMs),
    );
    return untilMs > nowMs ? { kind: "limited", untilMs } : { kind: "wait" };
  }
}

function findFirstRestEndMs(servers: readonly OpenServer[]): number {
  return Math.min(...servers.map(({ restsUntilMs }) => restsUntilMs));
}

/** Regions that may serve a call: homes of both its route and its team, or all. */
function listAllowed(
  { access, route }: Exchange,
  regions: readonly RegionId[],
): readonly RegionId[] {
  return regions.filter((region) =>
    mayServe(route, region) && mayServe(access, region)
  );
}

function toNeeds(exchange: Exchange): CallNeeds {
  const { facts, leastGapMs, parts, route, service, tried } = exchange;
  return {
    service,
    route: route.name,
    parts,
    promptTokens: facts.prompt?.promptTokens ?? 0,
    maxOutputTokens: facts.prompt?.maxOutputTokens ?? 0,
    targetMs: route.targetMs,
    leastGapMs,
    tried,
  };
}
