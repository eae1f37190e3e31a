import type { Clock } from "../clock/mod.ts";
import type { EngineLoad } from "../engine/mod.ts";

/** Speeds and sizes of an engine. */
export interface EngineSpeed {
  /** Sequences decoded at once. */
  readonly slots: number;
  /** Prompt tokens prefilled in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Time of a step with no sequence, in milliseconds. */
  readonly stepMs: number;
  /** Time that each sequence adds to a step, in milliseconds. */
  readonly stepPerSequenceMs: number;
  /** Tokens that the prefix cache holds. */
  readonly cacheTokens: number;
  /** Age of load reports, in milliseconds. */
  readonly reportLagMs: number;
}

/** A recent accelerator. */
export const NEW_ENGINE: EngineSpeed = {
  slots: 16,
  prefillTokensPerMs: 10,
  stepMs: 12,
  stepPerSequenceMs: 0.6,
  cacheTokens: 40_000,
  reportLagMs: 500,
};

/** An old accelerator. */
export const OLD_ENGINE: EngineSpeed = {
  slots: 8,
  prefillTokensPerMs: 3,
  stepMs: 28,
  stepPerSequenceMs: 1.5,
  cacheTokens: 16_000,
  reportLagMs: 500,
};

/** One sequence for an engine. */
export interface Sequence {
  readonly id: string;
  readonly promptTokens: number;
  readonly prefix: string | undefined;
  readonly prefixTokens: number;
  readonly outputTokens: number;
  /** Lower goes first. */
  readonly rank: number;
  /** Called for each token, from index 0. */
  readonly onToken: (index: number) => void;
  /** Called once after the last token. */
  readonly onEnd: () => void;
}

interface Running {
  readonly sequence: Sequence;
  coldTokens: number;
  produced: number;
}

const PREFILL_PER_STEP = 512;

/**
 * The timing of a model engine: continuous batching with prefill in chunks, a
 * bounded prefix cache, priorities, and load reports that lag.
 */
export class EngineCore {
  /** Work done since the start. */
  readonly counts = {
    sequences: 0,
    tokens: 0,
    cacheHits: 0,
    cacheLookups: 0,
    busyMs: 0,
  };
  readonly #clock: Clock;
  readonly #speed: EngineSpeed;
  #waiting: Running[] = [];
  #running: Running[] = [];
  readonly #cache = new Map<string, number>();
  #cachedTokens = 0;
  #isStepping = false;
  #generation = 0;
  #report: EngineLoad = { running: 0, queued: 0, queuedTokens: 0, lagMs: 0 };
  #reportMs: number;

  /**
   * @param clock Source of time.
   * @param speed Speeds and sizes.
   */
  constructor(clock: Clock, speed: EngineSpeed) {
    this.#clock = clock;
    this.#speed = speed;
    this.#reportMs = clock.nowMs();
  }

  /** Sequences that run or wait, right now. */
  get inSystem(): number {
    return this.#running.length + this.#waiting.length;
  }

  /** Adds a sequence. */
  submit(sequence: Sequence): void {
    this.#refreshReport();
    this.counts.sequences++;
    const coldTokens = sequence.promptTokens - this.#lookUp(sequence);
    this.#waiting.push({
      sequence,
      coldTokens: Math.max(1, coldTokens),
      produced: 0,
    });
    this.#step();
  }

  /** Ends a sequence early. */
  cancel(id: string): void {
    const isOther = ({ sequence }: Running) => sequence.id !== id;
    this.#waiting = this.#waiting.filter(isOther);
    this.#running = this.#running.filter(isOther);
  }

  /** Drops everything: the engine dies, and starts again with a cold cache. */
  reset(): void {
    this.#generation++;
    this.#waiting = [];
    this.#running = [];
    this.#isStepping = false;
    this.clearCache();
  }

  /** Empties the prefix cache. */
  clearCache(): void {
    this.#cache.clear();
    this.#cachedTokens = 0;
  }

  /** Returns a load report, as old as the lag. */
  readLoad(): EngineLoad {
    this.#refreshReport();
    return { ...this.#report, lagMs: this.#clock.nowMs() - this.#reportMs };
  }

  #refreshReport(): void {
    const nowMs = this.#clock.nowMs();
    if (
      nowMs - this.#reportMs < this.#speed.reportLagMs && this.#reportMs !== 0
    ) return;
    this.#reportMs = nowMs;
    this.#report = {
      running: this.#running.length,
      queued: this.#waiting.length,
      queuedTokens: [...this.#waiting, ...this.#running]
        .reduce((sum, { coldTokens }) => sum + coldTokens, 0),
      lagMs: 0,
    };
  }

  #step(): void {
    if (this.#isStepping) return;
    this.#admitWaiting();
    if (this.#running.length === 0) return;
    this.#isStepping = true;
    const prefill = this.#takePrefill();
    const { stepMs, stepPerSequenceMs, prefillTokensPerMs } = this.#speed;
    const tookMs = stepMs + stepPerSequenceMs * this.#running.length +
      prefill / prefillTokensPerMs;
    const generation = this.#generation;
    this.#clock.schedule(tookMs, () => {
      if (generation !== this.#generation) return;
      this.counts.busyMs += tookMs;
      this.#isStepping = false;
      this.#emitTokens();
      this.#refreshReport();
      this.#step();
    });
  }

  #admitWaiting(): void {
    const free = this.#speed.slots - this.#running.length;
    if (free <= 0 || this.#waiting.length === 0) return;
    this.#waiting.sort((a, b) => a.sequence.rank - b.sequence.rank);
    this.#running.push(...this.#waiting.splice(0, free));
  }

  #takePrefill(): number {
    let left = PREFILL_PER_STEP;
    this.#running.forEach((running) => {
      const taken = Math.min(left, running.coldTokens);
      running.coldTokens -= taken;
      left -= taken;
    });
    return PREFILL_PER_STEP - left;
  }

  #emitTokens(): void {
    const ready = this.#running.filter(({ coldTokens }) => coldTokens <= 0);
    ready.forEach((running) => {
      running.sequence.onToken(running.produced++);
      this.counts.tokens++;
    });
    const ended = ready.filter(({ produced, sequence }) =>
      produced >= sequence.outputTokens
    );
    this.#running = this.#running.filter((running) => !ended.includes(running));
    ended.forEach(({ sequence }) => sequence.onEnd());
  }

  #lookUp({ prefix, prefixTokens }: Sequence): number {
    if (prefix === undefined) return 0;
    this.counts.cacheLookups++;
    const held = this.#cache.get(prefix);
    if (held !== undefined) {
      this.counts.cacheHits++;
      this.#cache.delete(prefix);
      this.#cachedTokens -= held;
    }
    this.#cache.set(prefix, prefixTokens);
    this.#cachedTokens += prefixTokens;
    this.#evict();
    return Math.min(held ?? 0, prefixTokens);
  }

  #evict(): void {
    while (
      this.#cachedTokens > this.#speed.cacheTokens && this.#cache.size > 1
    ) {
      const [oldest, tokens] = this.#cache.entries().next().value!;
      this.#cache.delete(oldest);
      this.#cachedTokens -= tokens;
    }
  }
}
