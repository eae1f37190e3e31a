import { scheduleAfterReading } from "../clock/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import {
  type CreditLedger,
  type EngineModel,
  pickObservers,
  type ServicePool,
} from "../routing/mod.ts";

/** Parts of an instance that {@linkcode createObserveEngines} uses. */
export interface ObserveEnginesGateway {
  readonly parts: Pick<GatewayParts, "backend" | "clock" | "self">;
  readonly configuration: ConfigurationState;
  readonly ledger: CreditLedger;
  readonly membership: Membership;
  readPool(service: string): ServicePool;
}

/** Number of instances that poll each engine of a large pool. */
const OBSERVERS_PER_ENGINE = 2;
/** Maximum size of a pool whose engines are all polled each second; above it, a pool is large. */
const MAX_FULL_POLL = 16;
/**
 * In large pools, engines whose last report is at most this old are not polled, since
 * each answer carries a report.
 */
const MAX_FRESH_REPORT_AGE_MS = 900;
/** Maximum number of polls per round in a large pool; a poll takes about half a kilobyte. */
const MAX_POLLS_PER_ROUND = 2;
const POLL_TIMEOUT_MS = 900;

interface PooledEngine {
  readonly pool: ServicePool;
  readonly engine: EngineModel;
}

/**
 * Returns the controller that polls the load of engines.
 *
 * @param gateway Instance that the controller runs in.
 * @param signal Aborts polls in flight.
 */
export function createObserveEngines(
  gateway: ObserveEnginesGateway,
  signal: AbortSignal,
): () => Promise<void> {
  const { backend, clock } = gateway.parts;
  const pollEngine = async ({ engine, pool }: PooledEngine) => {
    const timeout = new AbortController();
    scheduleAfterReading(
      clock,
      POLL_TIMEOUT_MS,
      () => timeout.abort("timeout"),
      signal,
    );
    const load = await backend.readLoad(
      engine.server,
      AbortSignal.any([signal, timeout.signal]),
    );
    if (load.isErr()) return;
    // A recovered engine has a cold cache, so other regions get few credits at first.
    if (engine.health.unreachableUntilMs > 0) {
      gateway.ledger.startRamp(clock.nowMs());
    }
    engine.recordPoll(load.value, clock.nowMs());
    pool.queue.wake();
  };
  return async () => {
    const dueEngines = [...gateway.configuration.view.services.keys()]
      .map((service) => gateway.readPool(service))
      .flatMap((pool) => listDueEngines(gateway, pool));
    await Promise.all(dueEngines.map(pollEngine));
  };
}

function listDueEngines(
  gateway: ObserveEnginesGateway,
  pool: ServicePool,
): readonly PooledEngine[] {
  const { clock, self } = gateway.parts;
  const nowMs = clock.nowMs();
  const all = pool.engines.map((engine) => ({ pool, engine }));
  if (all.length <= MAX_FULL_POLL) return all;
  const live = gateway.membership.liveIds;
  return all
    .filter(({ engine }) =>
      pickObservers(engine.server.id, live, OBSERVERS_PER_ENGINE).includes(
        self.id,
      )
    )
    .filter(({ engine }) =>
      engine.readReportAgeMs(nowMs) > MAX_FRESH_REPORT_AGE_MS
    )
    .toSorted((a, b) => compareUrgency(a.engine, b.engine, nowMs))
    .slice(0, MAX_POLLS_PER_ROUND);
}

/**
 * Orders unreachable engines first, since they wait for a poll, then the others by the
 * age of their last report, oldest first.
 */
function compareUrgency(a: EngineModel, b: EngineModel, nowMs: number): number {
  const rankReachable = ({ health }: EngineModel) =>
    health.unreachableUntilMs > 0 ? 0 : 1;
  return rankReachable(a) - rankReachable(b) ||
    b.readReportAgeMs(nowMs) - a.readReportAgeMs(nowMs);
}
