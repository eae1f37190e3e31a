import type { Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import type { StoreBudget } from "../store/mod.ts";

/** Parts of an instance that {@linkcode createWatchInstances} uses. */
export interface WatchInstancesGateway {
  readonly parts: Pick<
    GatewayParts,
    "clock" | "instances" | "logger" | "options"
  >;
  readonly budget: StoreBudget;
  readonly membership: Membership;
  refreshPools(): void;
}

/** Minimum rate of store calls of one instance, however many instances share the budget. */
const MIN_STORE_CALLS_PER_SECOND = 5;

/**
 * Returns the controller that reads the platform's instance list and divides the budget
 * of store calls by the number of instances.
 *
 * @param gateway Instance that the controller runs in.
 */
export function createWatchInstances(
  gateway: WatchInstancesGateway,
): () => Promise<void> {
  const { clock, instances, logger, options } = gateway.parts;
  let knownIds = "";
  return async () => {
    const read = await instances.read();
    if (read.isErr()) {
      logger.debug("reading the instance list failed", {
        reason: read.error.message,
      });
      return;
    }
    const ids = read.value.map(({ id }) => id).sort().join(" ");
    gateway.membership.applyInstanceList(read.value, clock.nowMs());
    // The subsets of large pools depend on which instances are listed.
    if (ids !== knownIds) gateway.refreshPools();
    knownIds = ids;
    const share = options.storeCallsPerSecond / Math.max(1, read.value.length);
    gateway.budget.setRate(Math.max(MIN_STORE_CALLS_PER_SECOND, share));
  };
}
