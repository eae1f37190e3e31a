import type { Gateway } from "../daemon/gateway.ts";

const MIN_STORE_CALLS = 5;

/** Returns the controller that reads the platform's list and shares the store's budget by it. */
export function createWatchInstances(gateway: Gateway): () => Promise<void> {
  const { clock, instances, logger, options } = gateway.parts;
  return async () => {
    const read = await instances.read();
    if (read.isErr()) {
      logger.debug("instance list failed", { reason: read.error.message });
      return;
    }
    gateway.membership.applyList(read.value, clock.nowMs());
    const share = options.storeCallsPerSecond / Math.max(1, read.value.length);
    gateway.budget.setRate(Math.max(MIN_STORE_CALLS, share));
  };
}
