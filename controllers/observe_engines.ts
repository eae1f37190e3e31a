import type { Gateway } from "../daemon/gateway.ts";
import type { EngineModel } from "../routing/mod.ts";
import { pickObservers } from "../routing/mod.ts";

/** Daemons that poll each engine. */
const OBSERVERS_PER_ENGINE = 2;
/** Up to so many engines a daemon polls all of them. */
const POLL_ALL = 16;
const POLL_TIMEOUT_MS = 900;

/** Returns the controller that polls the load of engines. */
export function createObserveEngines(
  gateway: Gateway,
  signal: AbortSignal,
): () => Promise<void> {
  const { backend, clock } = gateway.parts;
  const observe = async (engine: EngineModel, wake: () => void) => {
    const timeout = new AbortController();
    clock.schedule(POLL_TIMEOUT_MS, () => timeout.abort(), signal);
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
    wake();
  };
  return async () => {
    const polls = [...gateway.configuration.view.services.keys()].flatMap(
      (service) => {
        const pool = gateway.readPool(service);
        return pickOwn(gateway, pool.engines)
          .map((engine) => observe(engine, () => pool.queue.wake()));
      },
    );
    await Promise.all(polls);
  };
}

function pickOwn(
  gateway: Gateway,
  engines: readonly EngineModel[],
): readonly EngineModel[] {
  if (engines.length <= POLL_ALL) return engines;
  const { self } = gateway.parts;
  const live = gateway.membership.liveIds;
  return engines.filter(({ server }) =>
    pickObservers(server.id, live, OBSERVERS_PER_ENGINE).includes(self.id)
  );
}
