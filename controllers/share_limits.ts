import type { BorrowWish } from "../admission/mod.ts";
import type { TeamId } from "../ids/mod.ts";
import type { Gateway } from "../daemon/gateway.ts";
import type { InstanceRecord } from "../membership/mod.ts";

/** Returns the controller that borrows parts of team limits from other instances. */
export function createShareLimits(gateway: Gateway): () => Promise<void> {
  const { clock } = gateway.parts;
  return async () => {
    const wishes = gateway.limits.decideBorrow(clock.nowMs());
    await Promise.all(wishes.map((wish) => borrow(gateway, wish)));
  };
}

const BORROW_INTERVAL_MS = 150;
/** A rest below this part of the wish is not asked for. */
const ENOUGH_SHARE = 0.05;

/**
 * Returns a function that borrows for one team at once. Calls that come while
 * the lenders are being asked share the same answer.
 */
export function createBorrowNow(
  gateway: Gateway,
): (team: TeamId) => Promise<void> {
  const { clock } = gateway.parts;
  const asked = new Map<
    TeamId,
    { readonly atMs: number; readonly answered: Promise<void> }
  >();
  return (team) => {
    const last = asked.get(team);
    if (last !== undefined && clock.nowMs() - last.atMs < BORROW_INTERVAL_MS) {
      return last.answered;
    }
    const wish = gateway.limits.decideBorrow(clock.nowMs()).find((each) =>
      each.team === team
    );
    if (wish === undefined) return Promise.resolve();
    const answered = borrow(gateway, wish);
    asked.set(team, { atMs: clock.nowMs(), answered });
    return answered;
  };
}

/** Asks all lenders for equal parts, then those that had them for the rest. */
async function borrow(gateway: Gateway, wish: BorrowWish): Promise<void> {
  const { self } = gateway.parts;
  const lenders = gateway.readLimitHolders(wish.team)
    .filter((id) => id !== self.id)
    .map((id) => gateway.membership.readRecord(id as typeof self.id))
    .filter((record): record is InstanceRecord => record !== undefined);
  const part = {
    team: wish.team,
    wanted: wish.wanted / Math.max(1, lenders.length),
  };
  const granted = await Promise.all(
    lenders.map((lender) => askLender(gateway, lender, part)),
  );
  const rest = wish.wanted - granted.reduce((sum, rate) => sum + rate, 0);
  const willing = lenders.filter((_, index) => granted[index]! >= part.wanted);
  if (rest < wish.wanted * ENOUGH_SHARE || willing.length === 0) return;
  const more = { team: wish.team, wanted: rest / willing.length };
  await Promise.all(willing.map((lender) => askLender(gateway, lender, more)));
}

async function askLender(
  gateway: Gateway,
  lender: InstanceRecord,
  wish: BorrowWish,
): Promise<number> {
  const { clock, peers, self } = gateway.parts;
  const askedMs = clock.nowMs();
  const loan = await peers.call(lender, "limits.borrow", {
    wish: { ...wish, from: self.id },
  });
  if (loan.isErr()) return 0;
  gateway.limits.recordLoan(loan.value, askedMs, clock.nowMs());
  return loan.value.rate;
}
