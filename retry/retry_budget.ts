/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each success. Default: 0.08. */
  readonly perSuccess?: number;
  /** Maximum number of retries that can be saved up. Default: 20. */
  readonly capacity?: number;
}

const DEFAULT_PER_SUCCESS = 0.08;
const DEFAULT_CAPACITY = 20;
const INITIAL_TOKENS = 3;

/**
 * Limits retries to a share of recent successes, so that they don't make a
 * widespread failure worse: while no request succeeds, retries stop.
 */
export class RetryBudget {
  #tokens: number;
  readonly #perSuccess: number;
  readonly #capacity: number;

  /** @param options Earning rate and capacity. */
  constructor(options: RetryBudgetOptions = {}) {
    this.#perSuccess = options.perSuccess ?? DEFAULT_PER_SUCCESS;
    this.#capacity = options.capacity ?? DEFAULT_CAPACITY;
    this.#tokens = Math.min(INITIAL_TOKENS, this.#capacity);
  }

  /** Records a request that succeeded without a retry. */
  recordSuccess(): void {
    this.#tokens = Math.min(this.#capacity, this.#tokens + this.#perSuccess);
  }

  /** Takes one retry from the budget; returns whether there was one. */
  admit(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
