/** Options of {@linkcode BatchShare}. */
export interface BatchShareOptions {
  /** Number of measured times to the first token in a window. Default: 40. */
  readonly windowSize?: number;
}

const DEFAULT_WINDOW_SIZE = 40;
const WINDOW_MS = 2_000;
const MIN_SHARE = 0.1;
const START_SHARE = 0.6;
/** Fractions of the target above which the share shrinks, and below which it grows. */
const SHRINK_ABOVE = 0.6;
const GROW_BELOW = 0.4;
const SHRINK_FACTOR = 0.75;
const GROW_STEP = 0.05;
const QUANTILE = 0.95;

/**
 * Controls the share of a pool's capacity that batch work may use, based on the
 * time to the first token of interactive calls. The share shrinks fast when that
 * time approaches its target, and grows slowly while it is far below the target.
 */
export class BatchShare {
  #share = START_SHARE;
  #window: number[] = [];
  #windowStartMs = 0;
  readonly #windowSize: number;

  /** @param options Size of the measuring window. */
  constructor(options: BatchShareOptions = {}) {
    this.#windowSize = options.windowSize ?? DEFAULT_WINDOW_SIZE;
  }

  /** Current share, from 0.1 to 1. */
  get share(): number {
    return this.#share;
  }

  /**
   * Records the time to the first token of an interactive call.
   *
   * @param firstTokenMs Measured time, in milliseconds.
   * @param targetMs Target of the service, in milliseconds.
   * @param nowMs Current time, in milliseconds.
   */
  record(firstTokenMs: number, targetMs: number, nowMs: number): void {
    this.#window.push(firstTokenMs);
    if (firstTokenMs > targetMs) this.#adjust(firstTokenMs / targetMs, nowMs);
    const isFull = this.#window.length >= this.#windowSize;
    if (!isFull && nowMs - this.#windowStartMs < WINDOW_MS) return;
    const sorted = this.#window.toSorted((a, b) => a - b);
    const tail = sorted[Math.floor((sorted.length - 1) * QUANTILE)]!;
    this.#adjust(tail / targetMs, nowMs);
  }

  #adjust(ratio: number, nowMs: number): void {
    this.#window = [];
    this.#windowStartMs = nowMs;
    if (ratio > SHRINK_ABOVE) {
      this.#share = Math.max(MIN_SHARE, this.#share * SHRINK_FACTOR);
    } else if (ratio < GROW_BELOW) {
      this.#share = Math.min(1, this.#share + GROW_STEP);
    }
  }
}
