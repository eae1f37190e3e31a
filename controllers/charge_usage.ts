import { createToken } from "../clock/mod.ts";
import { type Incarnation, toChangeId, toIncarnation } from "../ids/mod.ts";
import { type Membership, rankNames } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import type { GuardedStore } from "../store/mod.ts";
import { foldUsage, UsageFlusher, type UsageMeter } from "../usage/mod.ts";

/** What charging usage needs of a daemon. */
export interface ChargeUsageGateway {
  readonly parts: Pick<GatewayParts, "clock" | "metrics" | "random" | "self">;
  readonly incarnation: Incarnation;
  isGone(holder: Incarnation): boolean;
  readonly membership: Membership;
  readonly store: GuardedStore;
  readonly usage: UsageMeter;
}

/** Folding runs at every so many flushes. */
const FOLD_EVERY = 6;

/**
 * Returns the controller that writes what teams used here, and folds what gone
 * incarnations have left.
 *
 * @param gateway The daemon.
 */
export function createChargeUsage(
  gateway: ChargeUsageGateway,
): () => Promise<void> {
  const { clock, metrics, random, self } = gateway.parts;
  const createChangeId = () => toChangeId(createToken(random));
  const flusher = new UsageFlusher({
    store: gateway.store,
    incarnation: gateway.incarnation,
    createChangeId,
  });
  let flushes = 0;
  let written = "";
  return async () => {
    const totals = gateway.usage.readTotals();
    const text = JSON.stringify(totals);
    // A counter that did not move costs no write.
    if (text !== written) {
      const flushed = await flusher.flush(totals, clock.nowMs());
      if (flushed.isErr()) metrics.count("usage.flush_failed");
      else written = text;
    }
    flushes++;
    const isFolder =
      rankNames("usage", gateway.membership.liveIds)[0] === self.id;
    if (!isFolder || flushes % FOLD_EVERY !== 0) return;
    await foldUsage({
      store: gateway.store,
      createChangeId,
      isGone: (incarnation) => isGone(gateway, incarnation),
      nowMs: clock.nowMs(),
    });
  };
}

/** Need not be certain: a document that is folded too early is sealed first. */
function isGone(gateway: ChargeUsageGateway, incarnation: string): boolean {
  const id = incarnation.slice(0, incarnation.lastIndexOf(":"));
  const listed = [gateway.parts.self, ...gateway.membership.listed];
  return listed.every((record) => record.id !== id) ||
    gateway.isGone(toIncarnation(incarnation));
}
