import type { RateShortfall, TeamLimits } from "../admission/mod.ts";
import type { TeamId } from "../ids/mod.ts";
import type { InstanceRecord, Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";

/** Parts of an instance that {@linkcode LimitBorrower} uses. */
export interface LimitBorrowerGateway {
  readonly parts: Pick<GatewayParts, "clock" | "peers" | "self">;
  readonly limits: TeamLimits;
  readonly membership: Membership;
  readLimitHolders(team: TeamId): readonly string[];
}

/** Bounds of the pause between two rounds of requests for one team. */
const MIN_PAUSE_MS = 150;
const MAX_PAUSE_MS = 2_000;
/** A remainder below this fraction of the shortfall is not requested. */
const MIN_REMAINDER_FRACTION = 0.05;
/** A round that grants less than this fraction of the shortfall counts as unsuccessful. */
const MIN_USEFUL_FRACTION = 0.1;
/**
 * A round that grants at least this fraction of the shortfall is sufficient until the
 * loans must be renewed.
 */
const SUFFICIENT_FRACTION = 0.9;
/** Pause after a sufficient round, until the loans are renewed. */
const LOAN_RENEWAL_PAUSE_MS = 800;

interface BorrowRound {
  readonly startedMs: number;
  readonly pauseMs: number;
  readonly answered: Promise<void>;
}

/**
 * Borrows parts of team limits from other instances. While the others grant too
 * little, the pause between requests grows.
 */
export class LimitBorrower {
  readonly #gateway: LimitBorrowerGateway;
  readonly #lastRounds = new Map<TeamId, BorrowRound>();

  /** @param gateway Instance that borrows. */
  constructor(gateway: LimitBorrowerGateway) {
    this.#gateway = gateway;
  }

  /** Borrows for all teams that need more than their share on this instance. */
  async borrowAll(): Promise<void> {
    const shortfalls = this.#gateway.limits.listShortfalls(
      this.#gateway.parts.clock.nowMs(),
    );
    await Promise.all(shortfalls.map((each) => this.#borrow(each)));
  }

  /**
   * Borrows for one team, unless its last round is too recent. Resolves once the round
   * is answered.
   */
  async borrowFor(team: TeamId): Promise<void> {
    const nowMs = this.#gateway.parts.clock.nowMs();
    const last = this.#lastRounds.get(team);
    if (last !== undefined && nowMs - last.startedMs < last.pauseMs) {
      return await last.answered;
    }
    const shortfall = this.#gateway.limits.listShortfalls(nowMs).find((each) =>
      each.team === team
    );
    if (shortfall !== undefined) await this.#borrow(shortfall);
  }

  async #borrow(shortfall: RateShortfall): Promise<void> {
    const startedMs = this.#gateway.parts.clock.nowMs();
    const last = this.#lastRounds.get(shortfall.team);
    if (last !== undefined && startedMs - last.startedMs < last.pauseMs) {
      return await last.answered;
    }
    const backoffMs = Math.min(
      MAX_PAUSE_MS,
      (last?.pauseMs ?? MIN_PAUSE_MS) * 2,
    );
    const answered = borrowFromAll(this.#gateway, shortfall).then((granted) => {
      if (granted < shortfall.wanted * MIN_USEFUL_FRACTION) return;
      const isEnough = granted >= shortfall.wanted * SUFFICIENT_FRACTION;
      const pauseMs = isEnough ? LOAN_RENEWAL_PAUSE_MS : MIN_PAUSE_MS * 2;
      this.#lastRounds.set(shortfall.team, {
        startedMs,
        pauseMs,
        answered,
      });
    });
    this.#lastRounds.set(shortfall.team, {
      startedMs,
      pauseMs: backoffMs,
      answered,
    });
    await answered;
  }
}

/**
 * Requests equal parts from all lenders, then the remainder from those that granted
 * their whole part. Returns the granted rate, in requests per second.
 */
async function borrowFromAll(
  gateway: LimitBorrowerGateway,
  shortfall: RateShortfall,
): Promise<number> {
  const { clock, self } = gateway.parts;
  const lenders = gateway.readLimitHolders(shortfall.team)
    .filter((id) => id !== self.id)
    .map((id) => gateway.membership.readRecord(id as typeof self.id))
    .filter((record): record is InstanceRecord => record !== undefined);
  const nowMs = clock.nowMs();
  const borrowed = lenders.map(({ id }) =>
    gateway.limits.readBorrowedRate(shortfall.team, id, nowMs)
  );
  const equalPart = shortfall.wanted / Math.max(1, lenders.length);
  const granted = await Promise.all(
    lenders.map((lender, index) =>
      requestLoan(gateway, lender, {
        team: shortfall.team,
        wanted: Math.max(equalPart, borrowed[index]!),
      })
    ),
  );
  const remainder = shortfall.wanted - sumRates(granted);
  const fullLenders = lenders.filter((_, index) =>
    granted[index]! >= equalPart
  );
  if (
    remainder < shortfall.wanted * MIN_REMAINDER_FRACTION ||
    fullLenders.length === 0
  ) {
    return sumRates(granted);
  }
  const largerRequest = {
    team: shortfall.team,
    wanted: equalPart + remainder / fullLenders.length,
  };
  const added = await Promise.all(
    fullLenders.map((lender) => requestLoan(gateway, lender, largerRequest)),
  );
  return sumRates(granted) + sumRates(added) - fullLenders.length * equalPart;
}

/** Requests a loan from one lender and returns the granted rate, in requests per second. */
async function requestLoan(
  gateway: LimitBorrowerGateway,
  lender: InstanceRecord,
  request: RateShortfall,
): Promise<number> {
  const { clock, peers, self } = gateway.parts;
  const askedMs = clock.nowMs();
  const loan = await peers.call(lender, "limits.borrow", {
    wish: { ...request, from: self.id },
  });
  if (loan.isErr()) return 0;
  gateway.limits.recordLoan(lender.id, loan.value, {
    askedMs,
    nowMs: clock.nowMs(),
  });
  return loan.value.rate;
}

function sumRates(rates: readonly number[]): number {
  return rates.reduce((sum, rate) => sum + rate, 0);
}
