import { type Random } from "../clock/mod.ts";
import { computeWeight } from "../membership/mod.ts";
import { pickHealthy } from "./engine_health.ts";
import type { CallSize, EngineModel } from "./engine_model.ts";

/** Weights and target of a choice between engines. */
export interface PickWeights {
  /** Weight of the time to the first token. */
  readonly latency: number;
  /** Weight of the cost. */
  readonly cost: number;
  /** Target for the time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/** Input of {@linkcode pickEngine}. */
export interface PickRequest {
  readonly engines: readonly EngineModel[];
  readonly size: CallSize;
  readonly weights: PickWeights;
  /** Number of instances that dispatch to the same engines. */
  readonly dispatcherCount: number;
  readonly nowMs: number;
  readonly random: Random;
  /** Ids of engines that were already tried for this call. Default: none. */
  readonly excluded?: ReadonlySet<string>;
}

/** Maximum size of a pool in which all engines are compared; larger pools are sampled. */
export const MAX_FULL_COMPARISON = 12;
/** Number of engines drawn at random from a larger pool. */
export const SAMPLE_SIZE = 6;
/** Number of engines of a larger pool that are assigned to a prefix by its hash. */
const AFFINITY_CANDIDATES = 2;
/**
 * Scales the cost so that a fifth of a second of an engine at price 1 weighs as much
 * as the target.
 */
const COST_SCALE = 0.3;
/** Fraction of the decode time that is added to the time to the first token. */
const DECODE_WEIGHT = 0.3;
/** Additional weight of the prefill time, since a prefill delays the engine's other calls. */
const PREFILL_WEIGHT = 10;

/**
 * Picks the engine with the lowest score: the estimated time to the first token
 * relative to its target, plus the weighted cost. In a large pool, the candidates
 * are a random sample and the two engines that are assigned to the prefix. Sampling
 * keeps many instances with the same delayed reports from all picking the same engine
 * (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
 *
 * @param request Engines, call and weights.
 * @returns The picked engine, or `undefined` when no engine may be used.
 */
export function pickEngine(request: PickRequest): EngineModel | undefined {
  const candidates = pickCandidates(request);
  let best: EngineModel | undefined;
  let bestScore = Infinity;
  // A loop is used instead of array methods because each call runs it; see "Decision
  // time" in docs/design/routing.md.
  for (const engine of candidates) {
    const score = computeScore(engine, request);
    if (score < bestScore) {
      best = engine;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Returns the score of an engine for a call; lower is better.
 *
 * @param engine Candidate.
 * @param request Call and weights.
 */
export function computeScore(
  engine: EngineModel,
  request: PickRequest,
): number {
  const { size, weights, dispatcherCount, nowMs } = request;
  const firstTokenMs = engine.estimateFirstTokenMs(
    size,
    dispatcherCount,
    nowMs,
  );
  const decodeMs = engine.decodeMs * size.outputTokens;
  const prefillMs = engine.estimatePrefillMs(size, nowMs) * PREFILL_WEIGHT;
  const expectedMs = firstTokenMs + prefillMs + decodeMs * DECODE_WEIGHT;
  const latency = expectedMs / weights.firstTokenMs;
  return weights.latency * latency +
    weights.cost * COST_SCALE * estimateCost(engine, request);
}

/**
 * Returns the price of the engine time that a call uses: its prefill, and its part
 * of the decode steps, which it shares with the concurrent sequences.
 */
function estimateCost(engine: EngineModel, request: PickRequest): number {
  const { dispatcherCount, nowMs, size } = request;
  const { pricePerSecond } = engine.server;
  const sequences = engine.estimateSequenceCount(dispatcherCount, nowMs) + 1;
  const decodeMs = engine.decodeMs * size.outputTokens / sequences;
  return pricePerSecond * (engine.estimatePrefillMs(size, nowMs) + decodeMs) /
    1_000;
}

function pickCandidates(request: PickRequest): readonly EngineModel[] {
  const { engines, excluded, nowMs, random, size } = request;
  if (engines.length > MAX_FULL_COMPARISON) {
    const sampled = pickSample(engines, random);
    const byPrefix = size.prefix === undefined
      ? []
      : pickByPrefix(engines, size.prefix);
    const usable = pickHealthy([...sampled, ...byPrefix], nowMs).filter(
      isUsable,
    );
    if (usable.length > 0) return usable;
  }
  const usable = engines.filter(isUsable);
  return pickHealthy(usable, nowMs);

  function isUsable({ server }: EngineModel): boolean {
    return !server.isLeaving && !(excluded?.has(server.id) ?? false);
  }
}

function pickSample(
  engines: readonly EngineModel[],
  random: Random,
): EngineModel[] {
  return Array.from(
    { length: SAMPLE_SIZE },
    () => engines[Math.floor(random.nextFloat() * engines.length)]!,
  );
}

/**
 * Returns the engines at two positions computed from the prefix's hash alone, without
 * a pool scan.
 */
function pickByPrefix(
  engines: readonly EngineModel[],
  prefix: string,
): EngineModel[] {
  return Array.from(
    { length: AFFINITY_CANDIDATES },
    (_, index) =>
      engines[computeWeight(prefix, String(index)) % engines.length]!,
  );
}
