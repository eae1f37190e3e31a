import type { ConfigurationState } from "../configuration/mod.ts";
import type { Membership, ServiceDigest } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import type { CrashReport } from "../quarantine/mod.ts";
import type { ServicePool } from "../routing/mod.ts";

/** Parts of an instance that {@linkcode createSendHeartbeats} uses. */
export interface SendHeartbeatsGateway {
  readonly parts: Pick<GatewayParts, "clock" | "metrics" | "peers">;
  readonly configuration: ConfigurationState;
  readonly membership: Membership;
  /**
   * Returns a function that lists the reports of calls under which servers crashed.
   *
   * @param isRemote Whether the heartbeat goes to another region, to which reports are
   * sent less often.
   */
  takeCrashReports(): (isRemote: boolean) => readonly CrashReport[];
  readPool(service: string): ServicePool;
}

/** Call for which the time to the first token is estimated in digests. */
const TYPICAL_CALL = {
  promptTokens: 200,
  outputTokens: 64,
  prefix: undefined,
  prefixTokens: 0,
};

/**
 * Returns the controller that sends heartbeats.
 *
 * @param gateway Instance that the controller runs in.
 */
export function createSendHeartbeats(
  gateway: SendHeartbeatsGateway,
): () => void {
  const { clock, metrics, peers } = gateway.parts;
  return () => {
    const local = {
      configuration: gateway.configuration.sequence,
      services: gateway.membership.isObserver ? readServices(gateway) : [],
    };
    const outgoing = gateway.membership.advanceTick(local, clock.nowMs());
    const listCrashReports = gateway.takeCrashReports();
    outgoing.forEach(({ to, heartbeat }) => {
      const crashReports = listCrashReports(to.region !== heartbeat.region);
      peers.send(
        to,
        crashReports.length === 0 ? heartbeat : { ...heartbeat, crashReports },
      );
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
    return [{ service, spare: pool.estimateFreeSlots(), firstTokenMs }];
  });
}
