import { type FleetReport } from "../fleet/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { toLoopbackAddress } from "../standin/loopback_address.ts";
import { CLEAN_UPS } from "./clean_ups.ts";
import { type GatewayFixture, startGateway } from "./http_gateway_fixture.ts";
import { type RawServer, startRawServer } from "./raw_http.ts";
import { createReport } from "./report_fixture.ts";

/** Address of the instance in the far region. */
export const FAR_HOST = toLoopbackAddress(2);

/** Returns a report of the instance in the far region. */
export function createFarReport(
  peerPort: number,
  name = FAR_HOST,
): FleetReport {
  return createReport(
    {
      id: toInstanceId(`instance-${name}`),
      incarnation: "1",
      address: `${FAR_HOST}:${peerPort}`,
      region: toRegionId("south"),
      failureDomain: toFailureDomainId("south-a"),
      state: "ready",
    },
    1,
    { scope: "region" },
  );
}

/** Starts a gateway in the north, whose only servers are in the south behind another gateway. */
export async function startTwoRegions(
  answer: Parameters<typeof startRawServer>[0],
  route: {
    readonly kind?: "safe" | "unsafe" | "streaming";
    readonly homeRegions?: readonly string[];
    readonly timeoutMs?: number;
    readonly resumable?: boolean;
    readonly maxAttempts?: number;
    /** Number of servers in the far region, all at one address. Default: 1. */
    readonly serverCount?: number;
  } = {},
): Promise<
  {
    readonly near: GatewayFixture;
    readonly far: GatewayFixture;
    readonly server: RawServer;
  }
> {
  const server = await startRawServer(answer);
  CLEAN_UPS.push(() => server.close());
  const { serverCount = 1, ...declared } = route;
  const ids = Array.from({ length: serverCount }, (_, index) => `s${index}`);
  const shared = {
    routes: [{ prefix: "/a/", kind: "unsafe" as const, ...declared }],
    servers: Object.fromEntries(ids.map((id) => [id, server.address])),
    serverRegions: Object.fromEntries(ids.map((id) => [id, "south"])),
  };
  const far = await startGateway({
    ...shared,
    host: FAR_HOST,
    region: "south",
  });
  CLEAN_UPS.push(() => far.close());
  const near = await startGateway(shared);
  CLEAN_UPS.push(() => near.close());
  near.gateway.receiveReport(createFarReport(far.peerPort), FAR_HOST);
  return { near, far, server };
}
