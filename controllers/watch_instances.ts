import type { Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import type { StoreBudget } from "../store/mod.ts";

/** What watching instances needs of a daemon. */
export interface WatchInstancesGateway {
  readonly parts: Pick<
    GatewayParts,
    "clock" | "instances" | "logger" | "options"
  >;
  readonly budget: StoreBudget;
  readonly membership: Membership;
  refreshPools(): void;
}

const MIN_STORE_CALLS = 5;

/** Returns the controller that reads the platform's list and shares the store's budget by it. */
export function createWatchInstances(
  gateway: WatchInstancesGateway,
): () => Promise<void> {
  const { clock, instances, logger, options } = gateway.parts;
  let known = "";
  return async () => {
    const read = await instances.read();
    if (read.isErr()) {
      logger.debug("instance list failed", { reason: read.error.message });
      return;
    }
    const text = read.value.map(({ id }) => id).sort().join(" ");
    gateway.membership.applyList(read.value, clock.nowMs());
    // The parts of large pools follow from who is there.
    if (text !== known) gateway.refreshPools();
    known = text;
    const share = options.storeCallsPerSecond / Math.max(1, read.value.length);
    gateway.budget.setRate(Math.max(MIN_STORE_CALLS, share));
  };
}
