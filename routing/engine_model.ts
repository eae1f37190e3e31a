import type { AttemptId } from "../ids/mod.ts";
import type { EngineLoad } from "../engine/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import {
  applyHealthEvent,
  computeSlowStartShare,
  type EngineHealth,
  type HealthEvent,
  INITIAL_HEALTH,
} from "./engine_health.ts";
import { PrefixHints } from "./prefix_hints.ts";

/** Estimated work of one call, as far as routing needs it. */
export interface CallSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Hash of the prompt prefix or session that an engine may have cached. */
  readonly prefix: string | undefined;
  /** Number of tokens in the prefix. */
  readonly prefixTokens: number;
  /**
   * Whether the call has lower priority than all other work in an engine's queue.
   * Default: `false`.
   */
  readonly isBatch?: boolean;
}

interface InFlightCall {
  readonly dispatchedMs: number;
  readonly size: CallSize;
  /** Prompt tokens that were not expected to be in the cache. */
  readonly uncachedTokens: number;
  readonly isBatch: boolean;
  hasFirstToken: boolean;
}

/** Prefill speed and decode time assumed until those of an engine have been learned. */
const PRIOR_PREFILL_TOKENS_PER_MS = 8;
const PRIOR_DECODE_MS_PER_TOKEN = 25;
const LEARNING_RATE = 0.15;
const SPEED_BOUNDS = [0.05, 20] as const;
const MAX_REPORT_AGE_MS = 15_000;
/** Shorter prefill times are ignored, since a speed computed from them is unreliable. */
const MIN_PREFILL_SAMPLE_MS = 4;

/**
 * State of one engine as known to this instance: the last load report and its age,
 * this instance's dispatches since that report, speeds learned from its own calls,
 * cache hints and health.
 */
export class EngineModel {
  readonly hints = new PrefixHints();
  server: BackendServer;
  health: EngineHealth = INITIAL_HEALTH;
  /** Learned decode time per token, in milliseconds. */
  decodeMs = PRIOR_DECODE_MS_PER_TOKEN;
  /** Learned prefill speed, in tokens per millisecond. */
  prefillTokensPerMs = PRIOR_PREFILL_TOKENS_PER_MS;
  #report: EngineLoad = { running: 0, queued: 0, queuedTokens: 0, lagMs: 0 };
  /** Time at which the reported load was measured, in milliseconds. */
  #reportMs = 0;
  readonly #inFlight = new Map<AttemptId, InFlightCall>();
  /** This instance's dispatches since the last report. */
  #newDispatches: {
    readonly dispatchedMs: number;
    readonly tokens: number;
  }[] = [];

  /** @param server Declared settings of the engine. */
  constructor(server: BackendServer) {
    this.server = server;
  }

  /** Number of this instance's calls in flight. */
  get ownInFlight(): number {
    return this.#inFlight.size;
  }

  /** Number of this instance's batch calls in flight. */
  get ownBatchInFlight(): number {
    let count = 0;
    for (const { isBatch } of this.#inFlight.values()) if (isBatch) count++;
    return count;
  }

  /** Applies a load report, unless it is older than the last one. */
  applyReport(load: EngineLoad, nowMs: number): void {
    const reportMs = nowMs - load.lagMs;
    if (reportMs <= this.#reportMs) return;
    this.#report = load;
    this.#reportMs = reportMs;
    this.#newDispatches = this.#newDispatches.filter(({ dispatchedMs }) =>
      dispatchedMs > reportMs
    );
  }

  /** Returns the age of the last report, in milliseconds. */
  readReportAgeMs(nowMs: number): number {
    return nowMs - this.#reportMs;
  }

  /** Records the load with which the engine answered a poll. */
  recordPoll(load: EngineLoad, nowMs: number): void {
    this.health = applyHealthEvent(this.health, { kind: "polled" }, nowMs);
    this.applyReport(load, nowMs);
  }

  /** Records that a call was dispatched to the engine. */
  recordDispatch(attempt: AttemptId, size: CallSize, nowMs: number): void {
    const uncachedTokens = this.#computeUncachedTokens(size, nowMs);
    this.#inFlight.set(attempt, {
      dispatchedMs: nowMs,
      size,
      uncachedTokens,
      isBatch: size.isBatch === true,
      hasFirstToken: false,
    });
    this.#newDispatches.push({
      dispatchedMs: nowMs,
      tokens: uncachedTokens,
    });
    if (size.prefix !== undefined) {
      this.hints.record(size.prefix, {
        tokens: size.prefixTokens,
        seenMs: nowMs,
      });
    }
  }

  /** Records the first token of a call and updates the learned prefill speed. */
  recordFirstToken(attempt: AttemptId, nowMs: number): void {
    const call = this.#inFlight.get(attempt);
    if (call === undefined || call.hasFirstToken) return;
    call.hasFirstToken = true;
    const prefillMs = nowMs - call.dispatchedMs - this.decodeMs;
    const isLightlyLoaded =
      this.#inFlight.size <= Math.max(1, this.server.slots / 2);
    if (
      !isLightlyLoaded || prefillMs < MIN_PREFILL_SAMPLE_MS ||
      call.uncachedTokens < 16
    ) return;
    const speed = call.uncachedTokens / prefillMs;
    this.prefillTokensPerMs = updateAverage(
      this.prefillTokensPerMs,
      speed,
      SPEED_BOUNDS,
    );
  }

  /**
   * Records the end of a call and updates the learned decode time.
   *
   * @param attempt Attempt that ended.
   * @param end Health event of the call, if any, and its decode time per token in milliseconds.
   * @param nowMs Current time, in milliseconds.
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
    // An engine that failed may have lost its cache; an unreachable one has.
    if (end.event !== undefined && end.event.kind !== "succeeded") {
      this.hints.clear();
    }
    if (end.tokenMs !== undefined) {
      this.decodeMs = updateAverage(this.decodeMs, end.tokenMs, [1, 1_000]);
    }
  }

  /**
   * Estimates the number of sequences that run or wait at the engine: those of the
   * last report, those that this instance has dispatched since, and the same number
   * for each other instance that dispatches to the engine.
   *
   * @param dispatcherCount Number of instances that dispatch to this engine.
   * @param nowMs Current time, in milliseconds.
   */
  estimateSequenceCount(dispatcherCount: number, nowMs: number): number {
    const own = this.#inFlight.size;
    const isStale = nowMs - this.#reportMs > MAX_REPORT_AGE_MS;
    if (isStale) return own * Math.max(1, dispatcherCount);
    const dispatched = this.#sumNewDispatches();
    const reported = this.#report.running + this.#report.queued;
    return Math.max(
      own,
      reported + dispatched.count * Math.max(1, dispatcherCount),
    );
  }

  /**
   * Estimates the time to the first token of a call, in milliseconds.
   *
   * @param size Estimated work of the call.
   * @param dispatcherCount Number of instances that dispatch to this engine.
   * @param nowMs Current time, in milliseconds.
   */
  estimateFirstTokenMs(
    size: CallSize,
    dispatcherCount: number,
    nowMs: number,
  ): number {
    const slots = Math.max(
      1,
      this.server.slots * computeSlowStartShare(this.health, nowMs),
    );
    const inSystem = this.estimateSequenceCount(dispatcherCount, nowMs);
    const dispatched = this.#sumNewDispatches();
    const pendingTokens = Math.min(
      this.#report.queuedTokens +
        dispatched.tokens * Math.max(1, dispatcherCount),
      inSystem * 8_192,
    );
    const uncachedTokens = this.#computeUncachedTokens(size, nowMs);
    const prefillMs = (uncachedTokens + pendingTokens) /
      this.prefillTokensPerMs;
    const serviceMs = this.decodeMs * Math.max(16, size.outputTokens);
    const isFull = inSystem >= slots;
    const waitMs = isFull ? ((inSystem - slots + 1) / slots) * serviceMs : 0;
    const sharedDecodeMs = this.decodeMs * (inSystem / slots);
    return waitMs + prefillMs + sharedDecodeMs;
  }

  /**
   * Estimates the prefill time of a call on this engine, in milliseconds. During a
   * prefill the engine's decoding is delayed.
   */
  estimatePrefillMs(size: CallSize, nowMs: number): number {
    return this.#computeUncachedTokens(size, nowMs) / this.prefillTokensPerMs;
  }

  /**
   * Estimates how many more calls the engine can run without queueing them; negative
   * if it has more calls than slots.
   *
   * @param dispatcherCount Number of instances that dispatch to this engine.
   * @param nowMs Current time, in milliseconds.
   */
  estimateFreeSlots(dispatcherCount: number, nowMs: number): number {
    const slots = this.server.slots * computeSlowStartShare(this.health, nowMs);
    return slots - this.estimateSequenceCount(dispatcherCount, nowMs);
  }

  #computeUncachedTokens(size: CallSize, nowMs: number): number {
    const cached = this.hints.readTokens(size.prefix, nowMs);
    return Math.max(1, size.promptTokens - Math.min(cached, size.prefixTokens));
  }

  #sumNewDispatches(): {
    readonly count: number;
    readonly tokens: number;
  } {
    let tokens = 0;
    for (const dispatch of this.#newDispatches) tokens += dispatch.tokens;
    return { count: this.#newDispatches.length, tokens };
  }
}

function updateAverage(
  average: number,
  sample: number,
  bounds: readonly [number, number],
): number {
  const bounded = Math.min(bounds[1], Math.max(bounds[0], sample));
  return average + LEARNING_RATE * (bounded - average);
}
