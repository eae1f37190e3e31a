import type { Clock } from "../clock/mod.ts";
import type { EngineLoad } from "../engine/mod.ts";

/** Speed and capacity of an engine. */
export interface EngineSpeed {
  /** Maximum number of sequences that are decoded at the same time. */
  readonly slots: number;
  /** Prompt tokens prefilled per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Fixed duration of a step, in milliseconds. */
  readonly stepMs: number;
  /** Time that each running sequence adds to a step, in milliseconds. */
  readonly stepPerSequenceMs: number;
  /** Capacity of the prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Minimum age at which a load report is replaced, in milliseconds. */
  readonly reportIntervalMs: number;
}

/** Speed of a recent accelerator. */
export const NEW_ENGINE: EngineSpeed = {
  slots: 16,
  prefillTokensPerMs: 10,
  stepMs: 12,
  stepPerSequenceMs: 0.6,
  cacheTokens: 40_000,
  reportIntervalMs: 500,
};

/** Speed of an old accelerator. */
export const OLD_ENGINE: EngineSpeed = {
  slots: 8,
  prefillTokensPerMs: 3,
  stepMs: 28,
  stepPerSequenceMs: 1.5,
  cacheTokens: 16_000,
  reportIntervalMs: 500,
};

/** A sequence that an engine is asked to generate. */
export interface Sequence {
  readonly id: string;
  readonly promptTokens: number;
  readonly prefix: string | undefined;
  readonly prefixTokens: number;
  readonly outputTokens: number;
  /** Order of admission; waiting sequences with a lower rank are admitted first. */
  readonly rank: number;
  /** Called for each generated token, with its index from 0. */
  readonly onToken: (index: number) => void;
  /** Called once after the last token. */
  readonly onEnd: () => void;
}

interface ScheduledSequence {
  readonly sequence: Sequence;
  /** Prompt tokens that are still to be prefilled. */
  prefillTokens: number;
  emittedTokens: number;
}

const PREFILL_TOKENS_PER_STEP = 512;

/**
 * A simulation of a model engine's timing: continuous batching with chunked
 * prefill, a bounded prefix cache, priorities, and delayed load reports.
 */
export class EngineCore {
  /** Totals since the start. */
  readonly counts = {
    sequences: 0,
    tokens: 0,
    cacheHits: 0,
    cacheLookups: 0,
    busyMs: 0,
  };
  readonly #clock: Clock;
  readonly #speed: EngineSpeed;
  #waiting: ScheduledSequence[] = [];
  #running: ScheduledSequence[] = [];
  readonly #cache = new Map<string, number>();
  #cachedTokens = 0;
  #isStepping = false;
  #resetCount = 0;
  #report: EngineLoad = { running: 0, queued: 0, queuedTokens: 0, lagMs: 0 };
  #reportedAtMs: number;

  /**
   * @param clock Source of time.
   * @param speed Speed and capacity.
   */
  constructor(clock: Clock, speed: EngineSpeed) {
    this.#clock = clock;
    this.#speed = speed;
    this.#reportedAtMs = clock.nowMs();
  }

  /** Number of sequences that are running or waiting. */
  get sequenceCount(): number {
    return this.#running.length + this.#waiting.length;
  }

  /** Enqueues a sequence. */
  submit(sequence: Sequence): void {
    this.#refreshReport();
    this.counts.sequences++;
    const prefillTokens = sequence.promptTokens - this.#lookUpPrefix(sequence);
    this.#waiting.push({
      sequence,
      prefillTokens: Math.max(1, prefillTokens),
      emittedTokens: 0,
    });
    this.#step();
  }

  /** Drops a sequence; none of its callbacks is called any more. */
  cancel(id: string): void {
    const isOther = ({ sequence }: ScheduledSequence) => sequence.id !== id;
    this.#waiting = this.#waiting.filter(isOther);
    this.#running = this.#running.filter(isOther);
  }

  /** Drops all sequences and empties the prefix cache, as a crash and restart of the engine does. */
  reset(): void {
    this.#resetCount++;
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

  /** Returns the latest load report with its age as `lagMs`. */
  readLoad(): EngineLoad {
    this.#refreshReport();
    return { ...this.#report, lagMs: this.#clock.nowMs() - this.#reportedAtMs };
  }

  #refreshReport(): void {
    const nowMs = this.#clock.nowMs();
    if (
      nowMs - this.#reportedAtMs < this.#speed.reportIntervalMs &&
      this.#reportedAtMs !== 0
    ) return;
    this.#reportedAtMs = nowMs;
    this.#report = {
      running: this.#running.length,
      queued: this.#waiting.length,
      queuedTokens: [...this.#waiting, ...this.#running]
        .reduce((sum, { prefillTokens }) => sum + prefillTokens, 0),
      lagMs: 0,
    };
  }

  #step(): void {
    if (this.#isStepping) return;
    this.#admitWaiting();
    if (this.#running.length === 0) return;
    this.#isStepping = true;
    const prefill = this.#runPrefill();
    const { stepMs, stepPerSequenceMs, prefillTokensPerMs } = this.#speed;
    const durationMs = stepMs + stepPerSequenceMs * this.#running.length +
      prefill / prefillTokensPerMs;
    const resetCount = this.#resetCount;
    this.#clock.schedule(durationMs, () => {
      if (resetCount !== this.#resetCount) return;
      this.counts.busyMs += durationMs;
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

  #runPrefill(): number {
    let budget = PREFILL_TOKENS_PER_STEP;
    this.#running.forEach((running) => {
      const prefilled = Math.min(budget, running.prefillTokens);
      running.prefillTokens -= prefilled;
      budget -= prefilled;
    });
    return PREFILL_TOKENS_PER_STEP - budget;
  }

  #emitTokens(): void {
    const ready = this.#running.filter(({ prefillTokens }) =>
      prefillTokens <= 0
    );
    ready.forEach((running) => {
      running.sequence.onToken(running.emittedTokens++);
      this.counts.tokens++;
    });
    const completed = ready.filter(({ emittedTokens, sequence }) =>
      emittedTokens >= sequence.outputTokens
    );
    this.#running = this.#running.filter((running) =>
      !completed.includes(running)
    );
    completed.forEach(({ sequence }) => sequence.onEnd());
  }

  #lookUpPrefix({ prefix, prefixTokens }: Sequence): number {
    if (prefix === undefined) return 0;
    this.counts.cacheLookups++;
    const hitTokens = this.#cache.get(prefix);
    if (hitTokens !== undefined) {
      this.counts.cacheHits++;
      this.#cache.delete(prefix);
      this.#cachedTokens -= hitTokens;
    }
    this.#cache.set(prefix, prefixTokens);
    this.#cachedTokens += prefixTokens;
    this.#evict();
    return Math.min(hitTokens ?? 0, prefixTokens);
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
