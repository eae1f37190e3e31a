import { type Random } from "../clock/mod.ts";
import { computeWeight } from "../membership/mod.ts";
import { pickHealthy } from "./engine_health.ts";
import type { CallSize, EngineModel } from "./engine_model.ts";

/** What a choice weighs. */
export interface PickWeights {
  /** Weight of the time to the first token. */
  readonly latency: number;
  /** Weight of the price. */
  readonly cost: number;
  /** Aim for the first token, in milliseconds. */
  readonly firstTokenMs: number;
}

/** What a choice is made from. */
export interface PickRequest {
  readonly engines: readonly EngineModel[];
  readonly size: CallSize;
  readonly weights: PickWeights;
  /** Daemons that send work to the same engines. */
  readonly deciders: number;
  readonly nowMs: number;
  readonly random: Random;
  /** Engines that were tried for this request. Default: none. */
  readonly excluded?: ReadonlySet<string>;
}

/** Up to so many engines are all compared; of more, a sample. */
export const COMPARE_ALL = 12;
/** Engines drawn at random from a larger pool. */
export const SAMPLE_SIZE = 6;
const AFFINITY_CANDIDATES = 2;
/** Puts a price of 1 for a fifth of a second of an engine on a par with the aim. */
const COST_SCALE = 0.3;
/** Part of the decode time that counts beside the first token. */
const DECODE_WEIGHT = 0.3;
/** How much prefill counts again, for the calls that it holds up. */
const PREFILL_WEIGHT = 10;

/**
 * Picks the engine with the lowest score: estimated time to the first token
 * over the aim, plus price. Of a large pool it compares a random sample and the
 * two that a prefix is placed on; a sample instead of the whole pool keeps many
 * daemons with the same lagging reports from all picking the same engine
 * (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
 *
 * @param request Candidates, call and weights.
 * @returns `undefined` when no engine may be used.
 */
export function pickEngine(request: PickRequest): EngineModel | undefined {
  const candidates = pickCandidates(request);
  let best: EngineModel | undefined;
  let bestScore = Infinity;
  // A loop in place of array methods: see "decision" in docs/design/routing.md.
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
  const { size, weights, deciders, nowMs } = request;
  const firstTokenMs = engine.estimateFirstTokenMs(size, deciders, nowMs);
  const decodeMs = engine.decodeMs * size.outputTokens;
  const prefillMs = engine.estimatePrefillMs(size, nowMs) * PREFILL_WEIGHT;
  const expectedMs = firstTokenMs + prefillMs + decodeMs * DECODE_WEIGHT;
  const latency = expectedMs / weights.firstTokenMs;
  return weights.latency * latency +
    weights.cost * COST_SCALE * estimateCost(engine, request);
}

/**
 * Price of the part of an engine's time that a call takes: its prefill, and its
 * part of the steps, which it shares with the sequences that run beside it.
 */
function estimateCost(engine: EngineModel, request: PickRequest): number {
  const { deciders, nowMs, size } = request;
  const { pricePerSecond } = engine.server;
  const sharing = engine.estimateInSystem(deciders, nowMs) + 1;
  const decodeMs = engine.decodeMs * size.outputTokens / sharing;
  return pricePerSecond * (engine.estimatePrefillMs(size, nowMs) + decodeMs) /
    1_000;
}

function pickCandidates(request: PickRequest): readonly EngineModel[] {
  const { engines, excluded, nowMs, random, size } = request;
  if (engines.length > COMPARE_ALL) {
    const sampled = pickSample(engines, random);
    const placed = size.prefix === undefined
      ? []
      : pickPlaced(engines, size.prefix);
    const usable = pickHealthy([...sampled, ...placed], nowMs).filter(isUsable);
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

/** Two positions from the hash of the prefix alone: no scan of the pool. */
function pickPlaced(
  engines: readonly EngineModel[],
  prefix: string,
): EngineModel[] {
  return Array.from(
    { length: AFFINITY_CANDIDATES },
    (_, index) =>
      engines[computeWeight(prefix, String(index)) % engines.length]!,
  );
}
