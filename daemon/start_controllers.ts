import { createObserveEngines } from "../controllers/observe_engines.ts";
import { createShareLimits } from "../controllers/share_limits.ts";
import { createWatchInstances } from "../controllers/watch_instances.ts";
import { createSendHeartbeats } from "../controllers/send_heartbeats.ts";
import { createPublishEntries } from "../controllers/publish_entries.ts";
import { scheduleEvery } from "../clock/mod.ts";
import { HEARTBEAT_INTERVAL_MS } from "../membership/mod.ts";
import type { Gateway } from "./gateway.ts";

const INSTANCES_INTERVAL_MS = 1_000;
const ENGINES_INTERVAL_MS = 1_000;
const LIMITS_INTERVAL_MS = 500;
const ENTRIES_INTERVAL_MS = 1_000;

/**
 * Starts the controllers of a daemon.
 *
 * @param gateway The daemon.
 * @param signal Ends them.
 */
export function startControllers(gateway: Gateway, signal: AbortSignal): void {
  const { clock } = gateway.parts;
  const watchInstances = createWatchInstances(gateway);
  void watchInstances();
  scheduleEvery(clock, INSTANCES_INTERVAL_MS, watchInstances, signal);
  scheduleEvery(
    clock,
    HEARTBEAT_INTERVAL_MS,
    createSendHeartbeats(gateway),
    signal,
  );
  scheduleEvery(
    clock,
    ENGINES_INTERVAL_MS,
    createObserveEngines(gateway, signal),
    signal,
  );
  scheduleEvery(clock, LIMITS_INTERVAL_MS, createShareLimits(gateway), signal);
  scheduleEvery(
    clock,
    ENTRIES_INTERVAL_MS,
    createPublishEntries(gateway),
    signal,
  );
}
