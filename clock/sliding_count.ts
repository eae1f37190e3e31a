/** Parts that a window is counted in. */
const BUCKETS = 20;

/** Counts what happened in the last so many milliseconds. */
export class SlidingCount {
  readonly #bucketMs: number;
  readonly #counts = new Array<number>(BUCKETS).fill(0);
  #bucket = 0;
  #total = 0;

  /** @param windowMs Length of the window. */
  constructor(windowMs: number) {
    this.#bucketMs = windowMs / BUCKETS;
  }

  /** Adds to the count. */
  add(nowMs: number, count = 1): void {
    this.#roll(nowMs);
    this.#counts[this.#bucket % BUCKETS]! += count;
    this.#total += count;
  }

  /** Returns the count of the window that ends now. */
  read(nowMs: number): number {
    this.#roll(nowMs);
    return this.#total;
  }

  #roll(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const steps = Math.min(BUCKETS, bucket - this.#bucket);
    for (let step = 1; step <= steps; step++) {
      const at = (bucket - steps + step) % BUCKETS;
      this.#total -= this.#counts[at]!;
      this.#counts[at] = 0;
    }
    if (bucket > this.#bucket) this.#bucket = bucket;
  }
}
