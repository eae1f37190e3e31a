import { createToken } from "../clock/mod.ts";
import type { Gateway } from "../daemon/gateway.ts";
import { decideOrder, LEASE_TERMS, LeaseHolder } from "../leases/mod.ts";
import { rankNames } from "../membership/mod.ts";
import { readResources } from "../resources/mod.ts";
import type { BackendServer } from "../resources/mod.ts";
import {
  decidePlacement,
  type PlacedEngine,
  type PlacementStatus,
} from "./decide_placement.ts";

/** The controller of a region's placement. */
export interface PlaceVersions {
  /** Observes, decides and acts once. */
  readonly run: () => Promise<void>;
  /** How far the placements are; empty where this daemon does not hold the lease. */
  readonly readStatuses: () => readonly PlacementStatus[];
  /** Gives the lease back. */
  readonly release: () => Promise<void>;
}

const ORDER_MS = 5_000;
const MAX_LOADS = 2;
const FIRST_RETRY_MS = 2_000;
const LONGEST_RETRY_MS = 120_000;

interface EngineMemory {
  hasOrderInFlight: boolean;
  failures: number;
  retryAtMs: number;
  lastFailedOrder: string | undefined;
}

/**
 * Returns the controller that has engines load what operators declared. It
 * acts under the lease of the region's placement, with its token on each order.
 *
 * @param gateway The daemon.
 */
export function createPlaceVersions(gateway: Gateway): PlaceVersions {
  const { backend, clock, metrics, random, self } = gateway.parts;
  const holder = new LeaseHolder({
    store: gateway.store,
    clock,
    random,
    key: `/havenspur/lease/placement/${self.region}`,
    owner: self.id,
    terms: LEASE_TERMS,
  });
  const memories = new Map<string, EngineMemory>();
  let statuses: readonly PlacementStatus[] = [];

  const readMemory = (id: string): EngineMemory => {
    const known = memories.get(id);
    if (known !== undefined) return known;
    const memory = {
      hasOrderInFlight: false,
      failures: 0,
      retryAtMs: 0,
      lastFailedOrder: undefined,
    };
    memories.set(id, memory);
    return memory;
  };

  const observe = async (server: BackendServer): Promise<PlacedEngine> => {
    const state = (await backend.readState(server)).unwrapOr(undefined);
    const memory = readMemory(server.id);
    const isNewFailure = state?.failure !== undefined &&
      state.orderId !== memory.lastFailedOrder;
    if (isNewFailure) {
      memory.lastFailedOrder = state.orderId;
      memory.failures++;
      const longestMs = Math.min(
        LONGEST_RETRY_MS,
        FIRST_RETRY_MS * 2 ** (memory.failures - 1),
      );
      memory.retryAtMs = clock.nowMs() +
        longestMs * (0.5 + random.nextFloat() / 2);
    }
    if (state?.failure === undefined && state?.loading === undefined) {
      memory.failures = 0;
    }
    return {
      id: server.id,
      service: server.service,
      isLeaving: server.isLeaving,
      state,
      retryAtMs: memory.retryAtMs,
    };
  };

  const send = async (server: BackendServer, version: string | undefined) => {
    const memory = readMemory(server.id);
    const { held } = holder;
    const decision = decideOrder({
      checksFencing: server.checksFencing,
      hasOrderInFlight: memory.hasOrderInFlight,
    }, holder.isSafe(ORDER_MS));
    if (decision.kind === "wait" || held === undefined) return;
    memory.hasOrderInFlight = true;
    metrics.count("placement.orders");
    const orderId = createToken(random);
    const sent = await backend.order(server, {
      fencingToken: held.token,
      orderId,
      version,
    });
    memory.hasOrderInFlight = false;
    if (sent.isErr() && sent.error.kind === "fenced") await holder.release();
  };

  return {
    readStatuses: () => holder.held === undefined ? [] : statuses,
    release: () => holder.release(),
    run: async () => {
      const wanted = readResources(gateway.configuration.catalog, "placement")
        .map(({ spec }) => spec).filter(({ region }) => region === self.region);
      const isFirst =
        rankNames(`placement ${self.region}`, gateway.membership.liveIds)[0] ===
          self.id;
      if (wanted.length === 0 || (!isFirst && holder.held === undefined)) {
        return;
      }
      await holder.renew();
      if (!isFirst) return await holder.release();
      if (holder.held === undefined) return;
      const servers = wanted.flatMap(({ service }) =>
        gateway.readPool(service).engines.map(({ server }) => server)
      );
      const engines = await Promise.all(servers.map(observe));
      const decision = decidePlacement({
        wanted,
        engines,
        maxLoads: MAX_LOADS,
        nowMs: clock.nowMs(),
      });
      statuses = decision.statuses;
      const byId = new Map<string, BackendServer>(
        servers.map((server) => [server.id, server]),
      );
      await Promise.all(
        decision.orders.map(({ engine, version }) =>
          send(byId.get(engine)!, version)
        ),
      );
    },
  };
}
