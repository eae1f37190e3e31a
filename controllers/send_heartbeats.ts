import type { Gateway } from "../daemon/gateway.ts";
import type { ServiceDigest } from "../membership/mod.ts";

const TYPICAL_CALL = {
  promptTokens: 200,
  outputTokens: 64,
  prefix: undefined,
  prefixTokens: 0,
};

/** Returns the controller that sends heartbeats. */
export function createSendHeartbeats(gateway: Gateway): () => void {
  const { clock, metrics, peers } = gateway.parts;
  return () => {
    const local = {
      configuration: gateway.configuration.sequence,
      services: gateway.membership.isObserver ? readServices(gateway) : [],
    };
    gateway.membership.decideTick(local, clock.nowMs())
      .forEach(({ to, heartbeat }) => peers.send(to, heartbeat));
    metrics.gauge("membership.live", gateway.membership.liveIds.length);
  };
}

function readServices(gateway: Gateway): readonly ServiceDigest[] {
  return [...gateway.configuration.view.services.keys()].flatMap((service) => {
    const pool = gateway.readPool(service);
    const firstTokenMs = pool.estimateFirstTokenMs(TYPICAL_CALL);
    if (firstTokenMs === undefined) return [];
    return [{ service, spare: pool.estimateSpare(), firstTokenMs }];
  });
}
