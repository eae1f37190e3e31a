import type { ConfigurationState } from "../configuration/mod.ts";
import type { Membership, ServiceDigest } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";
import type { ServicePool } from "../routing/mod.ts";

/** What sending heartbeats needs of a daemon. */
export interface SendHeartbeatsGateway {
  readonly parts: Pick<GatewayParts, "clock" | "metrics" | "peers">;
  readonly configuration: ConfigurationState;
  readonly membership: Membership;
  /**
   * Returns what is told of calls under which servers ended.
   *
   * @param isFar Whether the heartbeat goes to another region, which is told seldom.
   */
  takeEnds(): (isFar: boolean) => readonly ReportedEnds[];
  readPool(service: string): ServicePool;
}

const TYPICAL_CALL = {
  promptTokens: 200,
  outputTokens: 64,
  prefix: undefined,
  prefixTokens: 0,
};

/** Returns the controller that sends heartbeats. */
export function createSendHeartbeats(
  gateway: SendHeartbeatsGateway,
): () => void {
  const { clock, metrics, peers } = gateway.parts;
  return () => {
    const local = {
      configuration: gateway.configuration.sequence,
      services: gateway.membership.isObserver ? readServices(gateway) : [],
    };
    const outgoing = gateway.membership.decideTick(local, clock.nowMs());
    const listEnds = gateway.takeEnds();
    outgoing.forEach(({ to, heartbeat }) => {
      const ends = listEnds(to.region !== heartbeat.region);
      peers.send(to, ends.length === 0 ? heartbeat : { ...heartbeat, ends });
    });
    metrics.gauge("membership.live", gateway.membership.liveIds.length);
  };
}

function readServices(
  gateway: SendHeartbeatsGateway,
): readonly ServiceDigest[] {
  return [...gateway.configuration.view.services.keys()].flatMap((service) => {
    const pool = gateway.readPool(service);
    const firstTokenMs = pool.estimateFirstTokenMs(TYPICAL_CALL);
    if (firstTokenMs === undefined) return [];
    return [{ service, spare: pool.estimateSpare(), firstTokenMs }];
  });
}
