import type { InstanceId, TeamId } from "../ids/mod.ts";

/** A part of a team's limit that one instance lends to another. */
export interface RateLoan {
  readonly team: TeamId;
  /** Requests per second. */
  readonly rate: number;
  /** Requests of the lender's burst that are lent with the rate. */
  readonly tokens: number;
  /** Validity from the time of the borrow request, in milliseconds. */
  readonly lifetimeMs: number;
}

/** A team's rate that an instance needs from others. */
export interface BorrowWish {
  readonly team: TeamId;
  /** Requests per second. */
  readonly wanted: number;
}

/** Validity of a loan, in milliseconds. */
export const LOAN_LIFETIME_MS = 2_000;
const BURST_SECONDS = 1;
const DEMAND_WINDOW_MS = 1_000;
const DEMAND_MEMORY = 0.2;
const LEND_MARGIN = 1.1;
/** Fraction of its share, and requests of its burst, that a lender keeps for new demand. */
const KEPT_SHARE = 0.06;
const KEPT_TOKENS = 1;
const LEAST_WISH = 0.05;
/** Factor by which a borrower asks for more than it needs now, to cover growing demand. */
const BORROW_MARGIN = 1.5;
/** Time until others know of a new instance, which uses a part of its share, in milliseconds. */
export const SETTLE_MS = 4_000;
const SETTLING_SHARE = 0.4;

interface Loan {
  /** The other instance, lender or borrower. */
  readonly party: string;
  readonly rate: number;
  readonly expiresMs: number;
}

interface TeamBucket {
  limit: number;
  tokens: number;
  filledMs: number;
  demand: number;
  windowStartMs: number;
  windowCount: number;
  lent: Loan[];
  borrowed: Loan[];
}

/** Constructor arguments of {@linkcode TeamLimits}. */
export interface TeamLimitsParts {
  readonly startedMs: number;
  /** Share of a team's limit that this instance holds, from 0 to 1. */
  readonly readBaseShare: (team: TeamId) => number;
  /** Whether other instances ran before this one started. */
  readonly isJoining: () => boolean;
}

/**
 * Shares the limits of teams over instances without the store. Each instance
 * holds a base share, and lends what it does not need for a short time to
 * instances that need more. A lender stops using a loan before the borrower
 * starts, and the borrower stops before the lender resumes, so that the sum of
 * all rates never exceeds the limit.
 */
export class TeamLimits {
  readonly #parts: TeamLimitsParts;
  readonly #buckets = new Map<TeamId, TeamBucket>();

  /** @param parts Start time and base share. */
  constructor(parts: TeamLimitsParts) {
    this.#parts = parts;
  }

  /**
   * Admits a request against the share of its team, and counts it as demand.
   *
   * @param team Team of the caller.
   * @param limit Limit of the team over all instances, in requests per second.
   * @param nowMs Current time, in milliseconds.
   * @param weight Number of requests that it counts as. Default: 1.
   * @returns Time after which to retry, or `undefined` if the request is admitted.
   */
  admit(
    team: TeamId,
    limit: number,
    nowMs: number,
    weight = 1,
  ): { readonly retryAfterMs: number } | undefined {
    this.#countDemand(this.#readBucket(team, limit, nowMs), nowMs, weight);
    return this.admitAgain(team, limit, nowMs, weight);
  }

  /** Does the same as {@linkcode admit} for a request that is already counted as demand. */
  admitAgain(
    team: TeamId,
    limit: number,
    nowMs: number,
    weight = 1,
  ): { readonly retryAfterMs: number } | undefined {
    const bucket = this.#readBucket(team, limit, nowMs);
    const rate = this.#computeRate(team, bucket, nowMs);
    this.#fill(bucket, rate, nowMs);
    const capacity = Math.max(1, rate * BURST_SECONDS);
    if (bucket.tokens >= Math.min(weight, capacity)) {
      bucket.tokens -= weight;
      return undefined;
    }
    const waitMs = rate > 0
      ? ((1 - bucket.tokens) / rate) * 1_000
      : LOAN_LIFETIME_MS;
    return {
      retryAfterMs: Math.max(50, Math.ceil(Math.min(waitMs, LOAN_LIFETIME_MS))),
    };
  }

  /** Returns the teams that need more than their share here, with the total rate to borrow. */
  decideBorrow(nowMs: number): readonly BorrowWish[] {
    return [...this.#buckets]
      .map(([team, bucket]) => {
        this.#rollWindow(bucket, nowMs);
        const own = this.#computeOwn(team, bucket, nowMs);
        const target = Math.min(bucket.limit, bucket.demand * BORROW_MARGIN);
        return { team, wanted: target - own };
      })
      .filter(({ wanted }) => wanted > LEAST_WISH);
  }

  /** Returns the rate of a valid loan from a lender, in requests per second, or 0. */
  readBorrowed(team: TeamId, lender: string, nowMs: number): number {
    const loans = this.#buckets.get(team)?.borrowed ?? [];
    return loans.find(({ party, expiresMs }) =>
      party === lender && expiresMs > nowMs
    )?.rate ?? 0;
  }

  /**
   * Lends unused rate to another instance. It replaces an earlier loan to the
   * same borrower, which renews that loan; a loan never shrinks before it expires.
   *
   * @param wish Total rate that the borrower requests of this instance.
   * @param limit Limit of the team over all instances, in requests per second.
   * @param nowMs Current time, in milliseconds.
   */
  lend(wish: BorrowRequest, limit: number, nowMs: number): RateLoan {
    const bucket = this.#readBucket(wish.team, limit, nowMs);
    this.#rollWindow(bucket, nowMs);
    this.#fill(bucket, this.#computeRate(wish.team, bucket, nowMs), nowMs);
    const known = bucket.lent.find(({ party }) => party === wish.from)?.rate ??
      0;
    const own = this.#computeOwn(wish.team, bucket, nowMs) + known;
    const spare = Math.max(
      0,
      own * (1 - KEPT_SHARE) - bucket.demand * LEND_MARGIN,
    );
    const rate = Math.max(known, Math.min(spare, wish.wanted));
    const refusal = {
      team: wish.team,
      rate: 0,
      tokens: 0,
      lifetimeMs: LOAN_LIFETIME_MS,
    };
    // A loan whose rate is no longer unused here is not renewed, and expires.
    if (rate <= 0 || spare < known) return refusal;
    bucket.lent = [
      ...bucket.lent.filter(({ party }) => party !== wish.from),
      { party: wish.from, rate, expiresMs: nowMs + LOAN_LIFETIME_MS },
    ];
    // Tokens move with the rate, so that their sum over all instances stays the same.
    const tokens = Math.max(0, bucket.tokens - KEPT_TOKENS) *
      Math.min(1, (rate - known) / own);
    bucket.tokens -= tokens;
    return { team: wish.team, rate, tokens, lifetimeMs: LOAN_LIFETIME_MS };
  }

  /**
   * Records a loan that another instance granted.
   *
   * @param lender Id of the lender.
   * @param loan Loan as granted.
   * @param at Time of the borrow request and current time, in milliseconds.
   */
  recordLoan(
    lender: string,
    loan: RateLoan,
    at: { readonly askedMs: number; readonly nowMs: number },
  ): void {
    const bucket = this.#buckets.get(loan.team);
    if (bucket === undefined || loan.rate <= 0) return;
    this.#fill(
      bucket,
      this.#computeRate(loan.team, bucket, at.nowMs),
      at.nowMs,
    );
    bucket.borrowed = [
      ...bucket.borrowed.filter(({ party }) => party !== lender),
      {
        party: lender,
        rate: loan.rate,
        expiresMs: at.askedMs + loan.lifetimeMs,
      },
    ];
    bucket.tokens += loan.tokens;
  }

  /** Returns the rate that this instance may admit now, in requests per second. */
  readRate(team: TeamId, nowMs: number): number {
    const bucket = this.#buckets.get(team);
    return bucket === undefined ? 0 : this.#computeRate(team, bucket, nowMs);
  }

  #readBucket(team: TeamId, limit: number, nowMs: number): TeamBucket {
    const known = this.#buckets.get(team);
    if (known !== undefined) {
      known.limit = limit;
      return known;
    }
    const bucket: TeamBucket = {
      limit,
      tokens: 0,
      filledMs: nowMs,
      demand: 0,
      windowStartMs: nowMs,
      windowCount: 0,
      lent: [],
      borrowed: [],
    };
    this.#buckets.set(team, bucket);
    bucket.tokens = this.#computeBase(team, bucket, nowMs) * BURST_SECONDS;
    return bucket;
  }

  #computeBase(team: TeamId, bucket: TeamBucket, nowMs: number): number {
    const isSettling = nowMs - this.#parts.startedMs < SETTLE_MS &&
      this.#parts.isJoining();
    const part = isSettling ? SETTLING_SHARE : 1;
    return bucket.limit * this.#parts.readBaseShare(team) * part;
  }

  #computeRate(team: TeamId, bucket: TeamBucket, nowMs: number): number {
    const own = this.#computeOwn(team, bucket, nowMs);
    bucket.borrowed = bucket.borrowed.filter(({ expiresMs }) =>
      expiresMs > nowMs
    );
    return own + sumRates(bucket.borrowed);
  }

  /** Returns the base share less the rates that are lent, in requests per second. */
  #computeOwn(team: TeamId, bucket: TeamBucket, nowMs: number): number {
    bucket.lent = bucket.lent.filter(({ expiresMs }) => expiresMs > nowMs);
    return Math.max(
      0,
      this.#computeBase(team, bucket, nowMs) - sumRates(bucket.lent),
    );
  }

  #fill(bucket: TeamBucket, rate: number, nowMs: number): void {
    const elapsedSeconds = Math.max(0, nowMs - bucket.filledMs) / 1_000;
    bucket.filledMs = nowMs;
    const capacity = Math.max(1, rate * BURST_SECONDS);
    bucket.tokens = Math.min(capacity, bucket.tokens + elapsedSeconds * rate);
  }

  #countDemand(bucket: TeamBucket, nowMs: number, weight: number): void {
    this.#rollWindow(bucket, nowMs);
    bucket.windowCount += weight;
    const elapsedMs = Math.max(DEMAND_WINDOW_MS, nowMs - bucket.windowStartMs);
    bucket.demand = Math.max(
      bucket.demand,
      bucket.windowCount / (elapsedMs / 1_000),
    );
  }

  #rollWindow(bucket: TeamBucket, nowMs: number): void {
    const elapsedMs = nowMs - bucket.windowStartMs;
    if (elapsedMs < DEMAND_WINDOW_MS) return;
    const seen = bucket.windowCount / (elapsedMs / 1_000);
    bucket.demand = seen > bucket.demand
      ? seen
      : bucket.demand * DEMAND_MEMORY + seen * (1 - DEMAND_MEMORY);
    bucket.windowStartMs = nowMs;
    bucket.windowCount = 0;
  }
}

function sumRates(loans: readonly Loan[]): number {
  return loans.reduce((sum, { rate }) => sum + rate, 0);
}

/** A request of an instance to borrow from another one. */
export interface BorrowRequest extends BorrowWish {
  readonly from: InstanceId;
}
