import type { BorrowWish, TeamLimits } from "../admission/mod.ts";
import type { TeamId } from "../ids/mod.ts";
import type { InstanceRecord, Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";

/** What sharing limits needs of a daemon. */
export interface ShareLimitsGateway {
  readonly parts: Pick<GatewayParts, "clock" | "peers" | "self">;
  readonly limits: TeamLimits;
  readonly membership: Membership;
  readLimitHolders(team: TeamId): readonly string[];
}

const SHORTEST_PAUSE_MS = 150;
const LONGEST_PAUSE_MS = 2_000;
/** A rest below this part of the wish is not asked for. */
const ENOUGH_SHARE = 0.05;
/** A round that brings less than this part of the wish counts as one in vain. */
const VAIN_SHARE = 0.1;
/** A round that brings this part of the wish is enough until the loans must be prolonged. */
const PROLONG_SHARE = 0.9;
const PROLONG_PAUSE_MS = 800;

interface LastRound {
  readonly atMs: number;
  readonly pauseMs: number;
  readonly answered: Promise<void>;
}

/**
 * Borrows parts of team limits from other instances. Where nothing is to be had
 * it asks less and less often.
 */
export class LimitBorrower {
  readonly #gateway: ShareLimitsGateway;
  readonly #rounds = new Map<TeamId, LastRound>();

  /** @param gateway The daemon. */
  constructor(gateway: ShareLimitsGateway) {
    this.#gateway = gateway;
  }

  /** Borrows for all teams that need it. */
  async borrowAll(): Promise<void> {
    const wishes = this.#gateway.limits.decideBorrow(
      this.#gateway.parts.clock.nowMs(),
    );
    await Promise.all(wishes.map((wish) => this.#borrowOnce(wish)));
  }

  /** Borrows for one team, unless it was tried just now; resolves with the answers. */
  async borrowFor(team: TeamId): Promise<void> {
    const nowMs = this.#gateway.parts.clock.nowMs();
    const last = this.#rounds.get(team);
    if (last !== undefined && nowMs - last.atMs < last.pauseMs) {
      return await last.answered;
    }
    const wish = this.#gateway.limits.decideBorrow(nowMs).find((each) =>
      each.team === team
    );
    if (wish !== undefined) await this.#borrowOnce(wish);
  }

  async #borrowOnce(wish: BorrowWish): Promise<void> {
    const atMs = this.#gateway.parts.clock.nowMs();
    const last = this.#rounds.get(wish.team);
    if (last !== undefined && atMs - last.atMs < last.pauseMs) {
      return await last.answered;
    }
    const longerMs = Math.min(
      LONGEST_PAUSE_MS,
      (last?.pauseMs ?? SHORTEST_PAUSE_MS) * 2,
    );
    const answered = askAll(this.#gateway, wish).then((granted) => {
      if (granted < wish.wanted * VAIN_SHARE) return;
      const isEnough = granted >= wish.wanted * PROLONG_SHARE;
      const pauseMs = isEnough ? PROLONG_PAUSE_MS : SHORTEST_PAUSE_MS * 2;
      this.#rounds.set(wish.team, { atMs, pauseMs, answered });
    });
    this.#rounds.set(wish.team, { atMs, pauseMs: longerMs, answered });
    await answered;
  }
}

/** Asks all lenders for equal parts, then those that had them for the rest. */
async function askAll(
  gateway: ShareLimitsGateway,
  wish: BorrowWish,
): Promise<number> {
  const { clock, self } = gateway.parts;
  const lenders = gateway.readLimitHolders(wish.team)
    .filter((id) => id !== self.id)
    .map((id) => gateway.membership.readRecord(id as typeof self.id))
    .filter((record): record is InstanceRecord => record !== undefined);
  const nowMs = clock.nowMs();
  const held = lenders.map(({ id }) =>
    gateway.limits.readBorrowed(wish.team, id, nowMs)
  );
  const part = wish.wanted / Math.max(1, lenders.length);
  const granted = await Promise.all(
    lenders.map((lender, index) =>
      askOne(gateway, lender, {
        team: wish.team,
        wanted: Math.max(part, held[index]!),
      })
    ),
  );
  const rest = wish.wanted - sumAll(granted);
  const willing = lenders.filter((_, index) => granted[index]! >= part);
  if (rest < wish.wanted * ENOUGH_SHARE || willing.length === 0) {
    return sumAll(granted);
  }
  const more = { team: wish.team, wanted: part + rest / willing.length };
  const added = await Promise.all(
    willing.map((lender) => askOne(gateway, lender, more)),
  );
  return sumAll(granted) + sumAll(added) - willing.length * part;
}

async function askOne(
  gateway: ShareLimitsGateway,
  lender: InstanceRecord,
  wish: BorrowWish,
): Promise<number> {
  const { clock, peers, self } = gateway.parts;
  const askedMs = clock.nowMs();
  const loan = await peers.call(lender, "limits.borrow", {
    wish: { ...wish, from: self.id },
  });
  if (loan.isErr()) return 0;
  gateway.limits.recordLoan(lender.id, loan.value, {
    askedMs,
    nowMs: clock.nowMs(),
  });
  return loan.value.rate;
}

function sumAll(rates: readonly number[]): number {
  return rates.reduce((sum, rate) => sum + rate, 0);
}
