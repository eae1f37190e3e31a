import { createToken } from "../clock/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { EngineState, PlacementStatus } from "../engine/mod.ts";
import { decideOrder, LEASE_TERMS, LeaseHolder } from "../leases/mod.ts";
import { type Membership, rankNames } from "../membership/mod.ts";
import type { GatewayParts } from "../ports/mod.ts";
import {
  type BackendServer,
  readRegions,
  readResources,
} from "../resources/mod.ts";
import type { ServicePool } from "../routing/mod.ts";
import type { GuardedStore } from "../store/mod.ts";
import { decidePlacement, type PlacedEngine } from "./decide_placement.ts";
import { LoadRate } from "./load_rate.ts";

/** What placing versions needs of a daemon. */
export interface PlaceVersionsGateway {
  readonly parts: Pick<
    GatewayParts,
    "backend" | "clock" | "metrics" | "options" | "random" | "self"
  >;
  readonly configuration: ConfigurationState;
  readonly membership: Membership;
  readPool(service: string): ServicePool;
  readonly store: GuardedStore;
}

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
/** How long an engine that serves what is wanted is not asked again, on average. */
const SETTLED_PAUSE_MS = 30_000;
const FIRST_RETRY_MS = 2_000;
const LONGEST_RETRY_MS = 120_000;

interface EngineMemory {
  hasOrderInFlight: boolean;
  failures: number;
  retryAtMs: number;
  lastFailedOrder: string | undefined;
  /** What it reported last, and when it is asked again if it is as wanted. */
  state: EngineState | undefined;
  askAgainMs: number;
}

/**
 * Returns the controller that has engines load what operators declared. It
 * acts under the lease of the region's placement, with its token on each order.
 *
 * @param gateway The daemon.
 */
export function createPlaceVersions(
  gateway: PlaceVersionsGateway,
): PlaceVersions {
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
  const loadRate = new LoadRate(clock.nowMs());
  /** The weight store's rate is shared by regions, since each has one holder. */
  const countFreeLoads = () => {
    const regions = readRegions(gateway.configuration.catalog).length;
    const part = gateway.parts.options.weightLoadsPerMinute /
      Math.max(1, regions);
    return loadRate.countFree(part, clock.nowMs());
  };

  const readMemory = (id: string): EngineMemory => {
    const known = memories.get(id);
    if (known !== undefined) return known;
    const memory = {
      hasOrderInFlight: false,
      failures: 0,
      retryAtMs: 0,
      lastFailedOrder: undefined,
      state: undefined,
      askAgainMs: 0,
    };
    memories.set(id, memory);
    return memory;
  };

  /** An engine that serves what is wanted is asked less often than one that differs. */
  const observe = async (
    server: BackendServer,
    wanted: string,
  ): Promise<PlacedEngine> => {
    const memory = readMemory(server.id);
    const nowMs = clock.nowMs();
    if (nowMs >= memory.askAgainMs) {
      memory.state = (await backend.readState(server)).unwrapOr(undefined);
      recordFailure(memory);
      const isSettled = memory.state?.version === wanted &&
        memory.state.loading === undefined;
      const pauseMs = SETTLED_PAUSE_MS * (0.5 + random.nextFloat());
      memory.askAgainMs = isSettled ? nowMs + pauseMs : nowMs;
    }
    return {
      id: server.id,
      service: server.service,
      isLeaving: server.isLeaving,
      state: memory.state,
      retryAtMs: memory.retryAtMs,
    };
  };

  const recordFailure = (memory: EngineMemory) => {
    const { state } = memory;
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
    if (version !== undefined) loadRate.take();
    memory.askAgainMs = 0;
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
      const versions = new Map(
        wanted.map(({ service, version }) => [service, version]),
      );
      const engines = await Promise.all(
        servers.map((server) => observe(server, versions.get(server.service)!)),
      );
      const loading =
        engines.filter(({ state }) => state?.loading !== undefined).length;
      const decision = decidePlacement({
        wanted,
        engines,
        maxLoads: Math.min(MAX_LOADS, loading + countFreeLoads()),
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
