import { createRandom, VirtualClock } from "../clock/mod.ts";
import { HttpGateway, type HttpGatewayParts } from "../daemon/http_gateway.ts";
import { GATEWAY_HEADER_CODEC, type ServerClient } from "../forwarding/mod.ts";
import { toFailureDomainId, toInstanceId, toRegionId } from "../ids/mod.ts";
import { createSilentLogger } from "../logs/mod.ts";
import { NO_METRICS } from "../metrics/mod.ts";
import type { StateSource } from "../state/mod.ts";

/** A client that drops every request. */
const NO_CLIENT: ServerClient = {
  send: () => ({ resume: () => {}, abort: () => {} }),
};

/** A state source with a loaded configuration that never changes. */
export const LOADED_STATE: StateSource = {
  known: {
    configurationVersion: 1,
    store: { era: 0, revision: 1 },
    isStoreLost: false,
  },
  isLoaded: true,
  isReachable: true,
  instanceAddresses: [],
  createCopy: () => ({
    era: 0,
    configurationVersion: 0,
    revision: 1,
    afterRevision: 0,
    entries: [],
    removed: [],
    isAfterOutage: false,
  }),
  applyCopy: () => false,
  sweep: () => {},
  run: () => Promise.resolve(),
};

/**
 * Creates a gateway without sockets, on a virtual clock that only moves when it is advanced.
 *
 * @param address Its address and id; the text before the dash is its region.
 * @param parts Overrides of the defaults: a gateway without peers, whose clients drop every request.
 */
export function createVirtualGateway(
  address: string,
  parts: Partial<HttpGatewayParts> = {},
): HttpGateway {
  const region = address.split("-")[0]!;
  const gateway = new HttpGateway({
    clock: new VirtualClock(),
    random: createRandom(7),
    logger: createSilentLogger(),
    metrics: NO_METRICS,
    headerCodec: GATEWAY_HEADER_CODEC,
    client: NO_CLIENT,
    peerClient: NO_CLIENT,
    self: {
      id: toInstanceId(address),
      incarnation: "1",
      address,
      region: toRegionId(region),
      failureDomain: toFailureDomainId(`${region}-a`),
    },
    seedAddresses: [],
    createState: () => LOADED_STATE,
    retryBounds: { ratio: 0.2, slack: 10, windowMs: 10_000 },
    warmUpBounds: { overshoot: 1.5, slack: 3 },
    sendReport: () => {},
    applyLimits: () => {},
    applyAddresses: () => {},
    ...parts,
  });
  gateway.fleet.setState("ready");
  return gateway;
}
