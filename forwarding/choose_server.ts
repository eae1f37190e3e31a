import type { Random } from "../clock/mod.ts";
import type { HttpService } from "../http_routes/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import { computeWeight } from "../membership/mod.ts";
import type { LoadTracker } from "../fleet/mod.ts";
import type { KnownServer } from "../servers/mod.ts";
import type { LearnedServers } from "./learned_servers.ts";
import type { KeyedPart } from "./prefix_cache_model.ts";
import type { SlotUsage } from "./rejection_gate.ts";
import type { ServerReachability } from "./server_reachability.ts";
import type { ServerFilter, UsableServers } from "./server_versions.ts";

/**
 * Calls that a plain server gets for each of its slots: one runs and one waits
 * there, so that the slot isn't idle for a round trip between two calls.
 */
const CALLS_PER_PLAIN_SLOT = 2;
/**
 * Fraction of an engine's cache memory that calls may fill. The output of a call is
 * known only by the upper bound that it requests, and load reports are some hundred
 * milliseconds old.
 */
const PLANNED_MEMORY_FRACTION = 0.85;
/**
 * The same fraction for calls that hold less memory than an engine has for each of
 * its sequences on average. Long prompts that wait for prefill must not exclude
 * short calls.
 */
const PLANNED_MEMORY_FRACTION_SHORT_CALLS = 0.97;
/** Cost of a failure share of 1, in milliseconds: a call that fails is lost. */
const FAILURE_PENALTY_MS = 3_000;
/**
 * Cost advantage of the engine that ranks first by rendezvous hash of a call's first
 * shared prompt part, in milliseconds. It gathers calls with the same prefix before
 * any engine is known to have cached that part.
 */
export const FIRST_RANK_BONUS_MS = 40;
/**
 * Cost of the prefill of a shared part that the engine has not cached, in
 * milliseconds a token, in addition to the time that it takes. It delays the prompts
 * behind it, and evicts parts that other calls share.
 */
const SHARED_PREFILL_COST_MS_PER_TOKEN = 0.06;
/**
 * Calls that may wait for a sequence of an engine that has cached their shared parts,
 * as a fraction of its sequences. A sequence becomes free there sooner than another
 * engine could prefill the part, and that engine would evict another part for it.
 */
const WAITING_FRACTION_WITH_CACHE = 0.6;
/** Time for which a short stream under load occupies one of an engine's sequences, in milliseconds. */
const SEQUENCE_DURATION_MS = 480;
/**
 * Fraction of the response-time objective from which a call is expected to be late.
 * An estimate doesn't include the calls that arrive in the meantime.
 */
const SAFE_FRACTION_OF_TARGET = 0.6;
/** Additional cost of each millisecond beyond that fraction of the objective. */
const LATENESS_WEIGHT = 2;

/** The properties of a call that the choice of its server depends on. */
export interface CallNeeds {
  readonly service: HttpService;
  /** Name of the route. */
  readonly route: string;
  readonly parts: readonly KeyedPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Response-time objective, in milliseconds. */
  readonly targetMs: number;
  /** Smallest target gap between events among the service's streams, in milliseconds. */
  readonly maxTokenGapMs: number | undefined;
  /** Servers that the call was sent to before. */
  readonly tried: ReadonlySet<BackendId>;
  /** The only servers that the call may be sent to. Default: any. */
  readonly only?: ReadonlySet<BackendId> | undefined;
}

/** A server that a call may be sent to. */
export interface Candidate {
  readonly server: KnownServer;
  /** Estimated time to the first byte, in milliseconds. */
  readonly estimateMs: number;
  /** The estimate plus what the call costs others, in milliseconds: the lowest cost wins. */
  readonly costMs: number;
  /** Tokens of the prompt that the server has to prefill. */
  readonly prefillTokens: number;
  /** Running streams that would stall for too long during the prefill. */
  readonly stalledStreams: number;
  /** Those of the tokens to prefill that other calls share. */
  readonly sharedPrefillTokens: number;
  /** Tokens of memory that the call will occupy, in addition to what is cached. */
  readonly memoryTokens: number;
  /** Calls that the server has without it, and its slots. */
  readonly usage: SlotUsage;
}

/**
 * Fraction of the smallest target gap that a prefill may take before it counts
 * as a stall. An engine prefills prompts between the tokens of its running streams,
 * and all of them wait meanwhile.
 */
const PREFILL_FRACTION_OF_GAP = 0.8;
/** Cost of each stream that a longer prefill stalls, in milliseconds. */
const STALLED_STREAM_COST_MS = 60;

/** A server that may get calls when it isn't cooling down and its rate limit isn't used up. */
export interface EligibleServer {
  readonly id: BackendId;
  /** End of its cool-down, on this instance's clock; 0 where it never asked for one. */
  readonly cooldownUntilMs: number;
  /** When its rate limit allows the next call, on this instance's clock; 0 where it advertises none. */
  readonly limitedUntilMs: number;
}

type Evaluation = Omit<Candidate, "costMs">;

/**
 * Which servers may be chosen:
 *
 * - `working`: those that do not fail for this instance.
 * - `any`: the same; where all servers fail, those whose connections do not time out, since
 *   a connection that is refused at once costs the call nothing.
 * - `all`: also those that fail for this instance, since another instance sends the call.
 */
export type ServerSelection = "working" | "any" | "all";

/** Options for the choice of a server. */
export interface ChooseServerOptions {
  /** Which servers may be chosen. Default: `any`. */
  readonly among?: ServerSelection;
  /** Prompt tokens in transit to the region, which no load report includes yet. Default: none. */
  readonly extraTokens?: number;
  /** Round trip to the region, in milliseconds. Default: 0. */
  readonly roundTripMs?: number;
  /** Whether servers at capacity may be chosen, where the call then waits. Default: no. */
  readonly includesFull?: boolean;
  /** Which servers the call may use by their versions. Default: all. */
  readonly isAllowed?: ServerFilter;
}

/** What a server is chosen from. */
export interface ServerChooserParts {
  readonly ownRegion: RegionId;
  /** All usable servers, whatever their versions are. */
  readonly registry: UsableServers;
  readonly loads: LoadTracker;
  readonly learned: LearnedServers;
  readonly reachability: ServerReachability;
  readonly random: Random;
  /** Returns how many other instances choose among the servers of the local region. */
  readonly countOthers: () => number;
}

/** Chooses the backend server with the lowest cost for a call: mainly its time to the first byte. */
export class ServerChooser {
  readonly #parts: ServerChooserParts;

  /** @param parts Registered servers, their loads, and what was learned of them. */
  constructor(parts: ServerChooserParts) {
    this.#parts = parts;
  }

  /**
   * Returns the cheapest server of a region that may take the call, or `undefined`.
   *
   * @param needs The call.
   * @param region Region whose servers are considered.
   * @param nowMs Time now.
   * @param options Load in transit to the region, and the round trip to it.
   */
  choose(
    needs: CallNeeds,
    region: RegionId,
    nowMs: number,
    options: ChooseServerOptions = {},
  ): Candidate | undefined {
    const { learned: { health } } = this.#parts;
    const service = needs.service.name;
    const considered = this.#listConsidered(needs, region, nowMs, options);
    const first = this.#findFirstRank(needs, considered);
    const extraTokens = (options.extraTokens ?? 0) /
      Math.max(1, considered.length);
    const failureShares = considered.map(({ entry }) =>
      health.readFailureShare(entry.id, needs.route, nowMs)
    );
    const meanFailures = computeMean(failureShares);
    const candidates = considered.flatMap((server, at) => {
      const evaluation = this.#evaluate(needs, server, nowMs, {
        extraTokens,
        includesFull: options.includesFull ?? false,
      });
      if (evaluation === undefined) return [];
      const bonusMs = server.entry.id === first ? FIRST_RANK_BONUS_MS : 0;
      const failures = failureShares[at]! - meanFailures;
      const costMs = computeCost(evaluation, needs, options.roundTripMs ?? 0) -
        bonusMs + FAILURE_PENALTY_MS * Math.max(0, failures);
      return [{ ...evaluation, costMs }];
    });
    return this.#pickBest(candidates, service, nowMs);
  }

  #listConsidered(
    needs: CallNeeds,
    region: RegionId,
    nowMs: number,
    { among = "any", isAllowed }: ChooseServerOptions,
  ): readonly KnownServer[] {
    const { learned: { health, links }, reachability, registry } = this.#parts;
    const service = needs.service.name;
    const available = registry.listUsable(service, region)
      .filter((server) =>
        !needs.tried.has(server.entry.id) &&
        (needs.only === undefined || needs.only.has(server.entry.id)) &&
        health.readCooldownUntilMs(server.entry.id) <= nowMs &&
        (isAllowed === undefined || isAllowed(server))
      );
    if (among === "all") return available;
    const working = available.filter(({ entry }) =>
      !reachability.isFailing(service, entry.id, nowMs)
    );
    if (among === "working" || working.length > 0) return working;
    // Where every server looks failed, the network is the more likely cause.
    return available.filter(({ entry }) => !links.isHanging(entry.id));
  }

  /**
   * Picks the cheapest candidate, or at random one whose cost is higher by less than
   * the work that other instances may have sent in the meantime.
   */
  #pickBest(
    candidates: readonly Candidate[],
    service: string,
    nowMs: number,
  ): Candidate | undefined {
    const { countOthers, learned, random } = this.#parts;
    const maxJitterMs = learned.costJitter.computeMaxMs(
      service,
      countOthers(),
      nowMs,
    );
    return candidates
      .map((candidate) => ({
        candidate,
        jitteredMs: candidate.costMs + maxJitterMs * random.nextFloat(),
      }))
      .reduce<{ candidate: Candidate; jitteredMs: number } | undefined>(
        (best, each) =>
          best === undefined || each.jitteredMs < best.jitteredMs ? each : best,
        undefined,
      )?.candidate;
  }

  /**
   * Returns the servers of a service in a region that may get calls, now or later.
   *
   * @param isAllowed Which servers the call may use by their versions. Default: all.
   */
  listEligible(
    service: string,
    region: RegionId,
    nowMs: number,
    isAllowed?: ServerFilter,
  ): readonly EligibleServer[] {
    const { learned: { health, limitGate }, registry } = this.#parts;
    return registry.listUsable(service, region)
      .filter((server) => isAllowed === undefined || isAllowed(server))
      .map(({ entry: { id } }) => ({
        id,
        cooldownUntilMs: health.readCooldownUntilMs(id),
        limitedUntilMs: limitGate.readOpensAtMs(id, nowMs),
      }));
  }

  /**
   * Whether a server may get a call now under its warm-up rate and its advertised rate
   * limit, which apply to all instances together. The instances of the server's region
   * share these rates; the others send nothing to a server that has one.
   */
  #isWithinBounds(
    { coldUntilMs, entry: { id, region } }: KnownServer,
    { warmUpCallsPerSecond }: HttpService,
    nowMs: number,
  ): boolean {
    const { learned: { limitGate, limits, warmUp }, ownRegion } = this.#parts;
    const isCold = nowMs < coldUntilMs && warmUpCallsPerSecond > 0;
    if (region !== ownRegion) return !isCold && limits.read(id) === undefined;
    return (!isCold || warmUp.isOpen(id, warmUpCallsPerSecond, nowMs)) &&
      limitGate.isOpen(id, nowMs);
  }

  /** Returns the estimates for a call at a server, or `undefined` where it has no capacity. */
  #evaluate(
    needs: CallNeeds,
    server: KnownServer,
    nowMs: number,
    { extraTokens, includesFull }: Required<
      Pick<ChooseServerOptions, "extraTokens" | "includesFull">
    >,
  ): Evaluation | undefined {
    const { entry } = server;
    const { service } = needs;
    const { loads, learned: { prefixes, rejectionGate, speeds } } = this.#parts;
    if (!this.#isWithinBounds(server, service, nowMs)) return undefined;
    const load = loads.readTotal(entry.id);
    const slots = service.engine?.maxSequences ?? entry.slots;
    const usage = {
      ownCalls: loads.readOwnCalls(entry.id),
      calls: load.calls,
      slots,
    };
    if (!rejectionGate.isOpen(entry.id, usage, nowMs)) return undefined;
    // A server that must not reject calls has no room for calls that wait there.
    const mayQueue = !rejectionGate.isBrittle(entry.id);
    const cached = prefixes.countCachedTokens(entry.id, needs.parts);
    const prefillTokens = Math.max(1, needs.promptTokens - cached);
    const memoryTokens = prefillTokens + needs.maxOutputTokens;
    const uncachedSharedTokens = countShared(needs.parts) - cached;
    if (service.engine === undefined) {
      const maxCalls = mayQueue ? slots * CALLS_PER_PLAIN_SLOT : slots;
      if (load.calls >= maxCalls && !includesFull) return undefined;
      const waiting = Math.max(0, load.calls + 1 - entry.slots);
      const oneMs = speeds.estimateMs(entry.id, service.name, 0);
      const estimateMs = oneMs * (1 + waiting / entry.slots);
      return {
        server,
        estimateMs,
        prefillTokens,
        sharedPrefillTokens: 0,
        stalledStreams: 0,
        memoryTokens,
        usage,
      };
    }
    const { cacheTokens, maxSequences } = service.engine;
    const isEmpty = load.calls === 0;
    const isShort = memoryTokens < cacheTokens / maxSequences;
    const plannedFraction = isShort
      ? PLANNED_MEMORY_FRACTION_SHORT_CALLS
      : PLANNED_MEMORY_FRACTION;
    const estimatePrefillMs = (tokens: number) =>
      speeds.estimateMs(entry.id, service.name, tokens);
    const waitMs = Math.max(0, load.calls + 1 - maxSequences) *
      SEQUENCE_DURATION_MS / maxSequences;
    const savedMs = uncachedSharedTokens > 0
      ? 0
      : estimatePrefillMs(cached) - estimatePrefillMs(0) +
        SHARED_PREFILL_COST_MS_PER_TOKEN * cached;
    const maxCalls = mayQueue && waitMs < savedMs
      ? maxSequences * (1 + WAITING_FRACTION_WITH_CACHE)
      : maxSequences;
    const isFull = load.calls >= maxCalls ||
      load.memoryTokens + memoryTokens > plannedFraction * cacheTokens;
    if (isFull && !isEmpty && !includesFull) return undefined;
    const estimateMs = waitMs +
      estimatePrefillMs(load.pendingTokens + extraTokens + prefillTokens);
    const maxTokenGapMs = needs.maxTokenGapMs ?? Number.POSITIVE_INFINITY;
    const prefillMs = estimateMs - waitMs - estimatePrefillMs(0);
    return {
      server,
      estimateMs,
      prefillTokens,
      sharedPrefillTokens: Math.max(0, uncachedSharedTokens),
      stalledStreams: prefillMs > PREFILL_FRACTION_OF_GAP * maxTokenGapMs
        ? load.calls
        : 0,
      memoryTokens,
      usage,
    };
  }

  #findFirstRank(
    needs: CallNeeds,
    servers: readonly KnownServer[],
  ): BackendId | undefined {
    const part = needs.parts.find(({ isShared }) => isShared);
    if (part === undefined) return undefined;
    return servers.map(({ entry }) => entry.id).reduce<BackendId | undefined>(
      (best, id) =>
        best === undefined ||
          computeWeight(part.key, id) > computeWeight(part.key, best)
          ? id
          : best,
      undefined,
    );
  }
}

function computeMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function countShared(parts: readonly KeyedPart[]): number {
  return parts.filter(({ isShared }) => isShared)
    .reduce((sum, { tokens }) => sum + tokens, 0);
}

function computeCost(
  evaluation: Evaluation,
  needs: CallNeeds,
  roundTripMs: number,
): number {
  const totalMs = evaluation.estimateMs + roundTripMs;
  const lateMs = Math.max(
    0,
    totalMs - SAFE_FRACTION_OF_TARGET * needs.targetMs,
  );
  return totalMs + LATENESS_WEIGHT * lateMs +
    SHARED_PREFILL_COST_MS_PER_TOKEN * evaluation.sharedPrefillTokens +
    STALLED_STREAM_COST_MS * evaluation.stalledStreams;
}
