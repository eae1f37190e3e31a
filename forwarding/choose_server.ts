import type { Random } from "../clock/mod.ts";
import type { HttpService } from "../http_routes/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import { computeWeight } from "../membership/mod.ts";
import type { LoadBoard } from "../fleet/mod.ts";
import type { KnownServer, ServerRegistry } from "../servers/mod.ts";
import type { LearnedServers } from "./learned_servers.ts";
import type { PlacedPart } from "./prefix_memory.ts";

/**
 * Calls that a plain server is given for each of its slots: one works, one
 * waits there, so that the way to it costs no idle time.
 */
const CALLS_PER_PLAIN_SLOT = 2;
/**
 * Part of an engine's memory that is planned with: what a call will generate is
 * only bounded by what it asks for, and gossip is some hundred ms behind.
 */
const PLANNED_MEMORY_PART = 0.85;
/**
 * The same for calls that hold less than one of the engine's sequences has on
 * average: long prompts that wait to be read must not shut out short calls.
 */
const PLANNED_MEMORY_PART_SHORT = 0.97;
/** Added time for a share of failures of one, in milliseconds: a failed call is lost. */
const FAILURE_PENALTY_MS = 3_000;
/**
 * Advantage of the first engine by rendezvous hash for a part that none is
 * known to hold, in milliseconds: it gathers calls that begin alike.
 */
export const FIRST_RANK_BONUS_MS = 40;
/**
 * Cost of reading a shared part again, in milliseconds a token, beside the time
 * that it takes: it holds up the prompts behind it, and evicts what others share.
 */
const REREAD_COST_MS_PER_TOKEN = 0.06;
/**
 * Calls that may wait at an engine for one of its sequences, as a part of them, where it
 * holds what the call shares with others: there a sequence ends sooner than another
 * engine has read the part, which would then yield another one there.
 */
const WAITING_PART_AT_HOLDER = 0.6;
/** Time that a call holds one of an engine's sequences, in milliseconds: a short stream under load. */
const SEQUENCE_HELD_MS = 480;
/**
 * Part of the objective from which an estimate counts as probably late: estimates
 * are off by what arrives in the meantime.
 */
const SAFE_PART_OF_TARGET = 0.6;
/** Cost of each millisecond beyond that, beside the millisecond. */
const LATENESS_WEIGHT = 2;

/** What a choice needs to know of a call. */
export interface CallNeeds {
  readonly service: HttpService;
  /** Name of the route. */
  readonly route: string;
  readonly parts: readonly PlacedPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Response-time objective, in milliseconds. */
  readonly targetMs: number;
  /** Shortest pause that streams of the service must keep, in milliseconds. */
  readonly leastGapMs: number | undefined;
  /** Servers that had the call before. */
  readonly tried: ReadonlySet<BackendId>;
}

/** A server that a call may go to. */
export interface Candidate {
  readonly server: KnownServer;
  /** Estimated time to the first byte, in milliseconds. */
  readonly estimateMs: number;
  /** What choices compare: the estimate, and what the call costs others. */
  readonly costMs: number;
  /** Tokens of the prompt that the server has to read. */
  readonly unreadTokens: number;
  /** Running streams that would pause too long while the prompt is read. */
  readonly heldUpStreams: number;
  /** Those of them that other calls share. */
  readonly unreadSharedTokens: number;
  /** Tokens of memory that the call will hold beside what is cached. */
  readonly memoryTokens: number;
}

/**
 * Part of the shortest pause between events that prompts may be read without a
 * pause: an engine reads prompts between the tokens of running streams, which
 * all wait meanwhile.
 */
const READING_PART_OF_GAP = 0.8;
/** Cost of each stream that is held up beyond that, in milliseconds. */
const HELD_UP_STREAM_COST_MS = 60;

/** A server that may get calls, if it does not rest and its limit is not used up. */
export interface OpenServer {
  readonly id: BackendId;
  /** Until when it wants nothing, on the own clock; 0: it never asked. */
  readonly restsUntilMs: number;
  /** Until when its limit is used up, on the own clock; 0: it names none. */
  readonly limitedUntilMs: number;
}

type Judged = Omit<Candidate, "costMs">;

/** Optional parts of a choice. */
export interface ChooseServerOptions {
  /** Prompt tokens on their way to the region, which no report counts yet. Default: none. */
  readonly extraTokens?: number;
  /** Time to the region and back, in milliseconds. Default: none. */
  readonly wayMs?: number;
}

/** What choices are made from. */
export interface ServerChooserParts {
  readonly ownRegion: RegionId;
  readonly registry: ServerRegistry;
  readonly loads: LoadBoard;
  readonly learned: LearnedServers;
  readonly random: Random;
  /** Returns how many other instances choose among the servers of the own region. */
  readonly countOthers: () => number;
}

/** Finds the backend server that begins to answer a call first. */
export class ServerChooser {
  readonly #parts: ServerChooserParts;

  /** @param parts What is known of servers. */
  constructor(parts: ServerChooserParts) {
    this.#parts = parts;
  }

  /**
   * Returns the best server of a region that has room, or `undefined`.
   *
   * @param needs The call.
   * @param region Where.
   * @param nowMs Time now.
   * @param options What else weighs on the region.
   */
  choose(
    needs: CallNeeds,
    region: RegionId,
    nowMs: number,
    options: ChooseServerOptions = {},
  ): Candidate | undefined {
    const { registry, learned: { health } } = this.#parts;
    const service = needs.service.name;
    const servers = registry.listUsable(service, region);
    const open = servers.filter(({ entry }) =>
      !needs.tried.has(entry.id) && health.readRestsUntilMs(entry.id) <= nowMs
    );
    const healthy = open.filter(({ entry }) =>
      !health.isSuspended(entry.id, nowMs) &&
      !this.#isSilent(service, entry.id, nowMs)
    );
    // With every server suspended the signs say more of the network than of them.
    const considered = healthy.length > 0 ? healthy : open;
    const first = this.#findFirstRank(needs, considered);
    const extraTokens = (options.extraTokens ?? 0) /
      Math.max(1, considered.length);
    const failureShares = considered.map(({ entry }) =>
      health.readFailureShare(entry.id, needs.route, nowMs)
    );
    const meanFailures = computeMean(failureShares);
    const candidates = considered.flatMap((server, at) => {
      const judged = this.#judge(needs, server, nowMs, extraTokens);
      if (judged === undefined) return [];
      const bonusMs = server.entry.id === first ? FIRST_RANK_BONUS_MS : 0;
      const failures = failureShares[at]! - meanFailures;
      const costMs = computeCost(judged, needs, options.wayMs ?? 0) -
        bonusMs + FAILURE_PENALTY_MS * Math.max(0, failures);
      return [{ ...judged, costMs }];
    });
    return this.#pickBest(candidates, service, nowMs);
  }

  /** Picks the cheapest, or by chance one that is dearer by less than what others do meanwhile. */
  #pickBest(
    candidates: readonly Candidate[],
    service: string,
    nowMs: number,
  ): Candidate | undefined {
    const { countOthers, learned, random } = this.#parts;
    const spreadMs = learned.crowd.readMs(service, countOthers(), nowMs);
    return candidates
      .map((candidate) => ({
        candidate,
        blurredMs: candidate.costMs + spreadMs * random.nextFloat(),
      }))
      .reduce<{ candidate: Candidate; blurredMs: number } | undefined>(
        (best, each) =>
          best === undefined || each.blurredMs < best.blurredMs ? each : best,
        undefined,
      )?.candidate;
  }

  /** Returns the servers of a service in a region that may get calls, now or after a while. */
  listOpen(
    service: string,
    region: RegionId,
    nowMs: number,
  ): readonly OpenServer[] {
    const { learned: { health, limitGate }, registry } = this.#parts;
    return registry.listUsable(service, region).map(({ entry: { id } }) => ({
      id,
      restsUntilMs: health.readRestsUntilMs(id),
      limitedUntilMs: limitGate.readOpensMs(id, nowMs),
    }));
  }

  /**
   * Whether a server may get a call now, by what it bears from all instances together.
   * Instances of its own region share that; the others leave it to them.
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

  #isSilent(service: string, server: BackendId, nowMs: number): boolean {
    const { loads, learned: { pulses, speeds } } = this.#parts;
    const { pendingTokens } = loads.readTotal(server);
    const estimateMs = speeds.estimateMs(server, service, pendingTokens);
    return pulses.isSilent(server, estimateMs, nowMs);
  }

  /** Returns how a server would take a call, or `undefined` where it has no room. */
  #judge(
    needs: CallNeeds,
    server: KnownServer,
    nowMs: number,
    extraTokens: number,
  ): Judged | undefined {
    const { entry } = server;
    const { service } = needs;
    const { loads, learned: { prefixes, speeds } } = this.#parts;
    if (!this.#isWithinBounds(server, service, nowMs)) return undefined;
    const load = loads.readTotal(entry.id);
    const cached = prefixes.countCached(entry.id, needs.parts);
    const unreadTokens = Math.max(1, needs.promptTokens - cached);
    const memoryTokens = unreadTokens + needs.maxOutputTokens;
    const unreadSharedTokens = countShared(needs.parts) - cached;
    if (service.engine === undefined) {
      if (load.calls >= entry.slots * CALLS_PER_PLAIN_SLOT) return undefined;
      const waiting = Math.max(0, load.calls + 1 - entry.slots);
      const oneMs = speeds.estimateMs(entry.id, service.name, 0);
      const estimateMs = oneMs * (1 + waiting / entry.slots);
      return {
        server,
        estimateMs,
        unreadTokens,
        unreadSharedTokens: 0,
        heldUpStreams: 0,
        memoryTokens,
      };
    }
    const { cacheTokens, maxSequences } = service.engine;
    const isEmpty = load.calls === 0;
    const isShort = memoryTokens < cacheTokens / maxSequences;
    const plannedPart = isShort
      ? PLANNED_MEMORY_PART_SHORT
      : PLANNED_MEMORY_PART;
    const estimateReadingMs = (tokens: number) =>
      speeds.estimateMs(entry.id, service.name, tokens);
    const waitMs = Math.max(0, load.calls + 1 - maxSequences) *
      SEQUENCE_HELD_MS / maxSequences;
    const savedMs = unreadSharedTokens > 0
      ? 0
      : estimateReadingMs(cached) - estimateReadingMs(0) +
        REREAD_COST_MS_PER_TOKEN * cached;
    const mostCalls = waitMs < savedMs
      ? maxSequences * (1 + WAITING_PART_AT_HOLDER)
      : maxSequences;
    const isFull = load.calls >= mostCalls ||
      load.memoryTokens + memoryTokens > plannedPart * cacheTokens;
    if (isFull && !isEmpty) return undefined;
    const estimateMs = waitMs +
      estimateReadingMs(load.pendingTokens + extraTokens + unreadTokens);
    const leastGapMs = needs.leastGapMs ?? Number.POSITIVE_INFINITY;
    const readingMs = estimateMs - waitMs - estimateReadingMs(0);
    return {
      server,
      estimateMs,
      unreadTokens,
      unreadSharedTokens: Math.max(0, unreadSharedTokens),
      heldUpStreams: readingMs > READING_PART_OF_GAP * leastGapMs
        ? load.calls
        : 0,
      memoryTokens,
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

function countShared(parts: readonly PlacedPart[]): number {
  return parts.filter(({ isShared }) => isShared)
    .reduce((sum, { tokens }) => sum + tokens, 0);
}

function computeCost(judged: Judged, needs: CallNeeds, wayMs: number): number {
  const totalMs = judged.estimateMs + wayMs;
  const lateMs = Math.max(0, totalMs - SAFE_PART_OF_TARGET * needs.targetMs);
  return totalMs + LATENESS_WEIGHT * lateMs +
    REREAD_COST_MS_PER_TOKEN * judged.unreadSharedTokens +
    HELD_UP_STREAM_COST_MS * judged.heldUpStreams;
}
