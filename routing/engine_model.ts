import type { AttemptId } from "../ids/mod.ts";
import type { EngineLoad } from "../engine/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import {
  applyHealthEvent,
  computeStartShare,
  type EngineHealth,
  type HealthEvent,
  UNTRIED,
} from "./engine_health.ts";
import { PrefixHints } from "./prefix_hints.ts";

/** The work of one call, as far as routing needs it. */
export interface CallSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hash of the prefix or session that may be cached. */
  readonly prefix: string | undefined;
  /** Tokens of that prefix. */
  readonly prefixTokens: number;
  /** Whether it gives way to all other work in an engine's queue. Default: `false`. */
  readonly isBatch?: boolean;
}

interface InFlight {
  readonly dispatchedMs: number;
  readonly size: CallSize;
  /** Prompt tokens that were not expected in the cache. */
  readonly coldTokens: number;
  readonly isBatch: boolean;
  hasFirstToken: boolean;
}

/** Prior speeds, until an engine's own are learned. */
const PRIOR_PREFILL_TOKENS_PER_MS = 8;
const PRIOR_DECODE_MS = 25;
const LEARNING_RATE = 0.15;
const SPEED_BOUNDS = [0.05, 20] as const;
const STALE_REPORT_MS = 15_000;
/** Floor of a wait, so that ratios of short times teach nothing. */
const LEARNING_FLOOR_MS = 4;

/**
 * What one daemon knows of one engine: its last report and its age, own
 * dispatches since, speeds learned from own calls, cache hints and health.
 */
export class EngineModel {
  readonly hints = new PrefixHints();
  server: BackendServer;
  health: EngineHealth = UNTRIED;
  /** Decode time of a token, learned, in milliseconds. */
  decodeMs = PRIOR_DECODE_MS;
  /** Prefill speed, learned, in tokens a millisecond. */
  prefillTokensPerMs = PRIOR_PREFILL_TOKENS_PER_MS;
  #report: EngineLoad = { running: 0, queued: 0, queuedTokens: 0, lagMs: 0 };
  /** Time that the report speaks of. */
  #reportMs = 0;
  readonly #inFlight = new Map<AttemptId, InFlight>();
  #recent: { readonly dispatchedMs: number; readonly tokens: number }[] = [];

  /** @param server The engine. */
  constructor(server: BackendServer) {
    this.server = server;
  }

  /** Own calls in flight. */
  get ownInFlight(): number {
    return this.#inFlight.size;
  }

  /** Own calls of batches in flight. */
  get ownBatch(): number {
    let count = 0;
    for (const { isBatch } of this.#inFlight.values()) if (isBatch) count++;
    return count;
  }

  /** Takes a load report; an older one than the last is dropped. */
  applyReport(load: EngineLoad, nowMs: number): void {
    const reportMs = nowMs - load.lagMs;
    if (reportMs <= this.#reportMs) return;
    this.#report = load;
    this.#reportMs = reportMs;
    this.#recent = this.#recent.filter(({ dispatchedMs }) =>
      dispatchedMs > reportMs
    );
  }

  /** Returns the age of the last report, in milliseconds. */
  readReportAgeMs(nowMs: number): number {
    return nowMs - this.#reportMs;
  }

  /** Records that the engine has answered a poll. */
  recordPoll(load: EngineLoad, nowMs: number): void {
    this.health = applyHealthEvent(this.health, { kind: "polled" }, nowMs);
    this.applyReport(load, nowMs);
  }

  /** Records a dispatch. */
  recordDispatch(attempt: AttemptId, size: CallSize, nowMs: number): void {
    const coldTokens = this.#computeColdTokens(size, nowMs);
    this.#inFlight.set(attempt, {
      dispatchedMs: nowMs,
      size,
      coldTokens,
      isBatch: size.isBatch === true,
      hasFirstToken: false,
    });
    this.#recent.push({ dispatchedMs: nowMs, tokens: coldTokens });
    if (size.prefix !== undefined) {
      this.hints.record(size.prefix, {
        tokens: size.prefixTokens,
        seenMs: nowMs,
      });
    }
  }

  /** Records the first token, and learns the prefill speed from it. */
  recordFirstToken(attempt: AttemptId, nowMs: number): void {
    const call = this.#inFlight.get(attempt);
    if (call === undefined || call.hasFirstToken) return;
    call.hasFirstToken = true;
    const tookMs = nowMs - call.dispatchedMs - this.decodeMs;
    const isAlone = this.#inFlight.size <= Math.max(1, this.server.slots / 2);
    if (!isAlone || tookMs < LEARNING_FLOOR_MS || call.coldTokens < 16) return;
    const speed = call.coldTokens / tookMs;
    this.prefillTokensPerMs = learn(
      this.prefillTokensPerMs,
      speed,
      SPEED_BOUNDS,
    );
  }

  /**
   * Records the end of a call, and learns the decode speed from it.
   *
   * @param attempt Which call.
   * @param end Whether it succeeded, its tokens and the time of the first one.
   * @param nowMs Time now.
   */
  recordEnd(
    attempt: AttemptId,
    end: { readonly event: HealthEvent | undefined; readonly tokenMs?: number },
    nowMs: number,
  ): void {
    this.#inFlight.delete(attempt);
    if (end.event !== undefined) {
      this.health = applyHealthEvent(this.health, end.event, nowMs);
    }
    // An engine that failed may have lost its cache; one that is away has.
    if (end.event !== undefined && end.event.kind !== "succeeded") {
      this.hints.clear();
    }
    if (end.tokenMs !== undefined) {
      this.decodeMs = learn(this.decodeMs, end.tokenMs, [1, 1_000]);
    }
  }

  /**
   * Estimates the sequences at the engine now: those of the report, own ones
   * since, and as many for each other daemon as this one has sent.
   *
   * @param deciders Daemons that send work to this engine.
   * @param nowMs Time now.
   */
  estimateInSystem(deciders: number, nowMs: number): number {
    const own = this.#inFlight.size;
    const isStale = nowMs - this.#reportMs > STALE_REPORT_MS;
    if (isStale) return own * Math.max(1, deciders);
    const since = this.#countRecent();
    const reported = this.#report.running + this.#report.queued;
    return Math.max(own, reported + since.count * Math.max(1, deciders));
  }

  /**
   * Estimates the time to the first token of a call, in milliseconds.
   *
   * @param size Its work.
   * @param deciders Daemons that send work to this engine.
   * @param nowMs Time now.
   */
  estimateFirstTokenMs(
    size: CallSize,
    deciders: number,
    nowMs: number,
  ): number {
    const slots = Math.max(
      1,
      this.server.slots * computeStartShare(this.health, nowMs),
    );
    const inSystem = this.estimateInSystem(deciders, nowMs);
    const since = this.#countRecent();
    const pendingTokens = Math.min(
      this.#report.queuedTokens + since.tokens * Math.max(1, deciders),
      inSystem * 8_192,
    );
    const coldTokens = this.#computeColdTokens(size, nowMs);
    const prefillMs = (coldTokens + pendingTokens) / this.prefillTokensPerMs;
    const serviceMs = this.decodeMs * Math.max(16, size.outputTokens);
    const isFull = inSystem >= slots;
    const waitMs = isFull ? ((inSystem - slots + 1) / slots) * serviceMs : 0;
    const crowdMs = this.decodeMs * (inSystem / slots);
    return waitMs + prefillMs + crowdMs;
  }

  /** Estimates the prefill of a call on this engine, which also holds up all it decodes. */
  estimatePrefillMs(size: CallSize, nowMs: number): number {
    return this.#computeColdTokens(size, nowMs) / this.prefillTokensPerMs;
  }

  /**
   * Estimates how many more calls the engine takes before they wait.
   *
   * @param deciders Daemons that send work to this engine.
   * @param nowMs Time now.
   */
  estimateRoom(deciders: number, nowMs: number): number {
    const slots = this.server.slots * computeStartShare(this.health, nowMs);
    return slots - this.estimateInSystem(deciders, nowMs);
  }

  #computeColdTokens(size: CallSize, nowMs: number): number {
    const cached = this.hints.readTokens(size.prefix, nowMs);
    return Math.max(1, size.promptTokens - Math.min(cached, size.prefixTokens));
  }

  #countRecent(): { readonly count: number; readonly tokens: number } {
    let tokens = 0;
    for (const dispatch of this.#recent) tokens += dispatch.tokens;
    return { count: this.#recent.length, tokens };
  }
}

function learn(
  known: number,
  seen: number,
  bounds: readonly [number, number],
): number {
  const bounded = Math.min(bounds[1], Math.max(bounds[0], seen));
  return known + LEARNING_RATE * (bounded - known);
}
