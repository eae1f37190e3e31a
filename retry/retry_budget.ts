/** Optional parts of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries that each success earns. Default: 0.08. */
  readonly perSuccess?: number;
  /** Most retries that can be saved up. Default: 20. */
  readonly capacity?: number;
}

const DEFAULT_PER_SUCCESS = 0.08;
const DEFAULT_CAPACITY = 20;
const START_TOKENS = 3;

/**
 * Allows retries as a share of recent successes, so that a common failure is
 * not made worse: with none succeeding, retries end.
 */
export class RetryBudget {
  #tokens: number;
  readonly #perSuccess: number;
  readonly #capacity: number;

  /** @param options Share and bound. */
  constructor(options: RetryBudgetOptions = {}) {
    this.#perSuccess = options.perSuccess ?? DEFAULT_PER_SUCCESS;
    this.#capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.#tokens = Math.min(START_TOKENS, this.#capacity);
  }

  /** Records a request that succeeded without a retry. */
  recordSuccess(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#perSuccess);
  }

  /** Takes one retry, if there is one. */
  admit(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
