import type { ConfigurationState } from "../configuration/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import {
  type CreditLedger,
  type EngineModel,
  pickObservers,
  type ServicePool,
} from "../routing/mod.ts";

/** What observing engines needs of a daemon. */
export interface ObserveEnginesGateway {
  readonly parts: Pick<GatewayParts, "backend" | "clock" | "self">;
  readonly configuration: ConfigurationState;
  readonly ledger: CreditLedger;
  readonly membership: Membership;
  readPool(service: string): ServicePool;
}

/** Daemons that poll each engine of a large pool. */
const OBSERVERS_PER_ENGINE = 2;
/** Up to so many engines a daemon polls all of them, each second. */
const POLL_ALL = 16;
/** Every answer carries a report; in large pools only engines without one are polled. */
const FRESH_MS = 900;
/** Polls of one round where a pool is large: a poll is about half a kilobyte. */
const MAX_POLLS_LARGE = 2;
const POLL_TIMEOUT_MS = 900;

interface Observed {
  readonly pool: ServicePool;
  readonly engine: EngineModel;
}

/** Returns the controller that polls the load of engines. */
export function createObserveEngines(
  gateway: ObserveEnginesGateway,
  signal: AbortSignal,
): () => Promise<void> {
  const { backend, clock } = gateway.parts;
  const observe = async ({ engine, pool }: Observed) => {
    const timeout = new AbortController();
    clock.schedule(POLL_TIMEOUT_MS, () => timeout.abort("timeout"), signal);
    const load = await backend.readLoad(
      engine.server,
      AbortSignal.any([signal, timeout.signal]),
    );
    if (load.isErr()) return;
    // What comes back is cold: other regions get little credit at first.
    if (engine.health.unreachableUntilMs > 0) {
      gateway.ledger.startRamp(clock.nowMs());
    }
    engine.recordPoll(load.value, clock.nowMs());
    pool.queue.wake();
  };
  return async () => {
    const due = [...gateway.configuration.view.services.keys()]
      .map((service) => gateway.readPool(service))
      .flatMap((pool) => listDue(gateway, pool));
    await Promise.all(due.map(observe));
  };
}

function listDue(
  gateway: ObserveEnginesGateway,
  pool: ServicePool,
): readonly Observed[] {
  const { clock, self } = gateway.parts;
  const nowMs = clock.nowMs();
  const all = pool.engines.map((engine) => ({ pool, engine }));
  if (all.length <= POLL_ALL) return all;
  const live = gateway.membership.liveIds;
  return all
    .filter(({ engine }) =>
      pickObservers(engine.server.id, live, OBSERVERS_PER_ENGINE).includes(
        self.id,
      )
    )
    .filter(({ engine }) => engine.readReportAgeMs(nowMs) > FRESH_MS)
    .toSorted((a, b) => compareUrgency(a.engine, b.engine, nowMs))
    .slice(0, MAX_POLLS_LARGE);
}

/** Engines that were away first, since they wait for a poll; then those with the oldest report. */
function compareUrgency(a: EngineModel, b: EngineModel, nowMs: number): number {
  const isAway = ({ health }: EngineModel) =>
    health.unreachableUntilMs > 0 ? 0 : 1;
  return isAway(a) - isAway(b) ||
    b.readReportAgeMs(nowMs) - a.readReportAgeMs(nowMs);
}
