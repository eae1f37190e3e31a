/** Number of buckets that a window is divided into. */
const BUCKET_COUNT = 20;

/** Counts events in a window of time that ends now. */
export class SlidingWindowCounter {
  readonly #bucketMs: number;
  readonly #counts = new Array<number>(BUCKET_COUNT).fill(0);
  #bucket = 0;
  #total = 0;

  /** @param windowMs Length of the window in milliseconds. */
  constructor(windowMs: number) {
    this.#bucketMs = windowMs / BUCKET_COUNT;
  }

  /** Adds events that happen now to the count. */
  add(nowMs: number, count = 1): void {
    this.#dropExpired(nowMs);
    this.#counts[this.#bucket % BUCKET_COUNT]! += count;
    this.#total += count;
  }

  /** Returns the count of the window that ends now. */
  read(nowMs: number): number {
    this.#dropExpired(nowMs);
    return this.#total;
  }

  /**
   * Returns a counter with a window of another length and the same events, each at the start
   * of the bucket in which it was counted. Events that have left the old window are unknown.
   *
   * @param windowMs Length of the window in milliseconds.
   */
  withWindow(windowMs: number): SlidingWindowCounter {
    const resized = new SlidingWindowCounter(windowMs);
    const first = Math.max(0, this.#bucket - BUCKET_COUNT + 1);
    for (let bucket = first; bucket <= this.#bucket; bucket++) {
      const count = this.#counts[bucket % BUCKET_COUNT]!;
      resized.add(bucket * this.#bucketMs, count);
    }
    return resized;
  }

  #dropExpired(nowMs: number): void {
    const bucket = Math.floor(nowMs / this.#bucketMs);
    const steps = Math.min(BUCKET_COUNT, bucket - this.#bucket);
    for (let step = 1; step <= steps; step++) {
      const index = (bucket - steps + step) % BUCKET_COUNT;
      this.#total -= this.#counts[index]!;
      this.#counts[index] = 0;
    }
    if (bucket > this.#bucket) this.#bucket = bucket;
  }
}
