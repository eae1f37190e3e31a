import { createToken } from "../clock/mod.ts";
import { type Incarnation, toChangeId, toIncarnation } from "../ids/mod.ts";
import { type Membership, rankNames } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import type { GuardedStore } from "../store/mod.ts";
import { foldUsage, UsageFlusher, type UsageMeter } from "../usage/mod.ts";

/** Parts of an instance that {@linkcode createChargeUsage} uses. */
export interface ChargeUsageGateway {
  readonly parts: Pick<GatewayParts, "clock" | "metrics" | "random" | "self">;
  readonly incarnation: Incarnation;
  isDead(holder: Incarnation): boolean;
  readonly membership: Membership;
  readonly store: GuardedStore;
  readonly usage: UsageMeter;
}

/** Number of flushes after which usage is folded. */
const FLUSHES_PER_FOLD = 6;

/**
 * Returns the controller that writes the usage of teams on this instance to the
 * store, and folds the usage documents of dead incarnations into one.
 *
 * @param gateway Instance that the controller runs in.
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
  let writtenText = "";
  return async () => {
    const totals = gateway.usage.readTotals();
    const text = JSON.stringify(totals);
    // Unchanged counters are not written again.
    if (text !== writtenText) {
      const flushed = await flusher.flush(totals, clock.nowMs());
      if (flushed.isErr()) metrics.count("usage.flush_failed");
      else writtenText = text;
    }
    flushes++;
    const isFoldingInstance =
      rankNames("usage", gateway.membership.liveIds)[0] === self.id;
    if (!isFoldingInstance || flushes % FLUSHES_PER_FOLD !== 0) return;
    await foldUsage({
      store: gateway.store,
      createChangeId,
      isDead: (incarnation) => isDead(gateway, incarnation),
      nowMs: clock.nowMs(),
    });
  };
}

/**
 * Returns whether an incarnation is dead, as far as is known. A wrong answer is safe,
 * since a document that is folded too early is sealed first.
 */
function isDead(gateway: ChargeUsageGateway, incarnation: string): boolean {
  const id = incarnation.slice(0, incarnation.lastIndexOf(":"));
  const knownRecords = [
    gateway.parts.self,
    ...gateway.membership.listedInstances,
  ];
  return knownRecords.every((record) => record.id !== id) ||
    gateway.isDead(toIncarnation(incarnation));
}
