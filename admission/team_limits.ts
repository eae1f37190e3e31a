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

/** The rate of a team that an instance needs to borrow. */
export interface RateShortfall {
  readonly team: TeamId;
  /** Requests per second. */
  readonly wanted: number;
}

/** Validity of a loan, in milliseconds. */
export const LOAN_LIFETIME_MS = 2_000;
const BURST_SECONDS = 1;
const DEMAND_WINDOW_MS = 1_000;
const PREVIOUS_DEMAND_WEIGHT = 0.2;
const LEND_MARGIN = 1.1;
/** Fraction of its share, and requests of its burst, that a lender keeps for new demand. */
const KEPT_SHARE = 0.06;
const KEPT_TOKENS = 1;
const MIN_SHORTFALL = 0.05;
/** Factor by which a borrower asks for more than it needs now, to cover growing demand. */
const BORROW_MARGIN = 1.5;
/**
 * Time in which a new instance uses only a part of its share, until the others know of it, in
 * milliseconds.
 */
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
  refilledMs: number;
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
    this.#refill(bucket, rate, nowMs);
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
  listShortfalls(nowMs: number): readonly RateShortfall[] {
    return [...this.#buckets]
      .map(([team, bucket]) => {
        this.#rollWindow(bucket, nowMs);
        const own = this.#computeOwnRate(team, bucket, nowMs);
        const target = Math.min(bucket.limit, bucket.demand * BORROW_MARGIN);
        return { team, wanted: target - own };
      })
      .filter(({ wanted }) => wanted > MIN_SHORTFALL);
  }

  /** Returns the rate of a valid loan from a lender, in requests per second, or 0. */
  readBorrowedRate(team: TeamId, lender: string, nowMs: number): number {
    const loans = this.#buckets.get(team)?.borrowed ?? [];
    return loans.find(({ party, expiresMs }) =>
      party === lender && expiresMs > nowMs
    )?.rate ?? 0;
  }

  /**
   * Lends unused rate to another instance. It replaces an earlier loan to the
   * same borrower, which renews that loan; a loan never shrinks before it expires.
   *
   * @param request Total rate that the borrower requests of this instance.
   * @param limit Limit of the team over all instances, in requests per second.
   * @param nowMs Current time, in milliseconds.
   */
  lend(request: BorrowRequest, limit: number, nowMs: number): RateLoan {
    const bucket = this.#readBucket(request.team, limit, nowMs);
    this.#rollWindow(bucket, nowMs);
    this.#refill(bucket, this.#computeRate(request.team, bucket, nowMs), nowMs);
    const lentRate =
      bucket.lent.find(({ party }) => party === request.from)?.rate ??
        0;
    const own = this.#computeOwnRate(request.team, bucket, nowMs) + lentRate;
    const spare = Math.max(
      0,
      own * (1 - KEPT_SHARE) - bucket.demand * LEND_MARGIN,
    );
    const rate = Math.max(lentRate, Math.min(spare, request.wanted));
    const refusal = {
      team: request.team,
      rate: 0,
      tokens: 0,
      lifetimeMs: LOAN_LIFETIME_MS,
    };
    // A loan whose rate is no longer unused here is not renewed, and expires.
    if (rate <= 0 || spare < lentRate) return refusal;
    bucket.lent = [
      ...bucket.lent.filter(({ party }) => party !== request.from),
      { party: request.from, rate, expiresMs: nowMs + LOAN_LIFETIME_MS },
    ];
    // Tokens move with the rate, so that their sum over all instances stays the same.
    const tokens = Math.max(0, bucket.tokens - KEPT_TOKENS) *
      Math.min(1, (rate - lentRate) / own);
    bucket.tokens -= tokens;
    return { team: request.team, rate, tokens, lifetimeMs: LOAN_LIFETIME_MS };
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
    this.#refill(
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
      refilledMs: nowMs,
      demand: 0,
      windowStartMs: nowMs,
      windowCount: 0,
      lent: [],
      borrowed: [],
    };
    this.#buckets.set(team, bucket);
    bucket.tokens = this.#computeBaseRate(team, bucket, nowMs) * BURST_SECONDS;
    return bucket;
  }

  #computeBaseRate(team: TeamId, bucket: TeamBucket, nowMs: number): number {
    const isSettling = nowMs - this.#parts.startedMs < SETTLE_MS &&
      this.#parts.isJoining();
    const part = isSettling ? SETTLING_SHARE : 1;
    return bucket.limit * this.#parts.readBaseShare(team) * part;
  }

  #computeRate(team: TeamId, bucket: TeamBucket, nowMs: number): number {
    const own = this.#computeOwnRate(team, bucket, nowMs);
    bucket.borrowed = bucket.borrowed.filter(({ expiresMs }) =>
      expiresMs > nowMs
    );
    return own + sumRates(bucket.borrowed);
  }

  /** Returns the base share less the rates that are lent, in requests per second. */
  #computeOwnRate(team: TeamId, bucket: TeamBucket, nowMs: number): number {
    bucket.lent = bucket.lent.filter(({ expiresMs }) => expiresMs > nowMs);
    return Math.max(
      0,
      this.#computeBaseRate(team, bucket, nowMs) - sumRates(bucket.lent),
    );
  }

  #refill(bucket: TeamBucket, rate: number, nowMs: number): void {
    const elapsedSeconds = Math.max(0, nowMs - bucket.refilledMs) / 1_000;
    bucket.refilledMs = nowMs;
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
    const measured = bucket.windowCount / (elapsedMs / 1_000);
    bucket.demand = measured > bucket.demand
      ? measured
      : bucket.demand * PREVIOUS_DEMAND_WEIGHT +
        measured * (1 - PREVIOUS_DEMAND_WEIGHT);
    bucket.windowStartMs = nowMs;
    bucket.windowCount = 0;
  }
}

function sumRates(loans: readonly Loan[]): number {
  return loans.reduce((sum, { rate }) => sum + rate, 0);
}

/** A request of an instance to borrow from another one. */
export interface BorrowRequest extends RateShortfall {
  readonly from: InstanceId;
}
