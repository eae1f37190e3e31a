import { createObserveEngines } from "../controllers/observe_engines.ts";
import { createWatchInstances } from "../controllers/watch_instances.ts";
import { createSendHeartbeats } from "../controllers/send_heartbeats.ts";
import { createPublishEntries } from "../controllers/publish_entries.ts";
import { createChargeUsage } from "../controllers/charge_usage.ts";
import { createPlaceVersions } from "../controllers/place_versions.ts";
import { createWorkBatches } from "../controllers/work_batches.ts";
import { scheduleEvery } from "../clock/mod.ts";
import { HEARTBEAT_INTERVAL_MS } from "../membership/mod.ts";
import type { Gateway } from "./gateway.ts";

const INSTANCES_INTERVAL_MS = 1_000;
const ENGINES_INTERVAL_MS = 1_000;
const LIMITS_INTERVAL_MS = 500;
const ENTRIES_INTERVAL_MS = 1_000;
const PLACEMENT_INTERVAL_MS = 1_500;
const BATCHES_INTERVAL_MS = 1_000;
const USAGE_INTERVAL_MS = 10_000;

/**
 * Starts the controllers of an instance, each at its own interval.
 *
 * @param gateway Gateway of the instance.
 * @param signal Stops them when it aborts.
 */
export function startControllers(gateway: Gateway, signal: AbortSignal): void {
  const { clock } = gateway.parts;
  const watchInstances = createWatchInstances(gateway);
  const placement = createPlaceVersions(gateway);
  gateway.readPlacements = placement.readStatuses;
  const jobs: readonly (readonly [number, () => void | Promise<void>])[] = [
    [INSTANCES_INTERVAL_MS, watchInstances],
    [HEARTBEAT_INTERVAL_MS, createSendHeartbeats(gateway)],
    [ENGINES_INTERVAL_MS, createObserveEngines(gateway, signal)],
    [LIMITS_INTERVAL_MS, () => gateway.borrower.borrowAll()],
    [ENTRIES_INTERVAL_MS, createPublishEntries(gateway)],
    [PLACEMENT_INTERVAL_MS, placement.run],
    [BATCHES_INTERVAL_MS, createWorkBatches(gateway, signal)],
    [USAGE_INTERVAL_MS, createChargeUsage(gateway)],
  ];
  void watchInstances();
  jobs.forEach(([intervalMs, run]) =>
    scheduleEvery(clock, intervalMs, run, signal)
  );
}
