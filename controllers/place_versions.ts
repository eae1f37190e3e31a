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
import { LoadRateLimiter } from "./load_rate_limiter.ts";

/** Parts of an instance that {@linkcode createPlaceVersions} uses. */
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

/** Controller of a region's placement. */
export interface PlacementController {
  /** Observes the engines, decides and sends orders once. */
  readonly run: () => Promise<void>;
  /** Returns the status of the placements; empty if this instance does not hold the lease. */
  readonly readStatuses: () => readonly PlacementStatus[];
  /** Releases the lease. */
  readonly release: () => Promise<void>;
}

/** Assumed maximum duration of an order, for which the lease must remain safe. */
const ORDER_DURATION_MS = 5_000;
/** Maximum number of concurrent loads in the region. */
const MAX_LOADS = 2;
/** Average interval between two polls of an engine that serves the declared version. */
const SETTLED_POLL_INTERVAL_MS = 30_000;
const INITIAL_RETRY_MS = 2_000;
const MAX_RETRY_MS = 120_000;

interface EngineRecord {
  hasOrderInFlight: boolean;
  failures: number;
  retryAtMs: number;
  lastFailedOrder: string | undefined;
  /** State that the engine reported last. */
  state: EngineState | undefined;
  /** Time before which the engine is not polled again, in milliseconds. */
  nextPollMs: number;
}

/**
 * Returns the controller that makes engines load the versions that operators declared.
 * It acts only while it holds the lease of the region's placement, and sends the
 * lease's fencing token with each order.
 *
 * @param gateway Instance that the controller runs in.
 */
export function createPlaceVersions(
  gateway: PlaceVersionsGateway,
): PlacementController {
  const { backend, clock, metrics, random, self } = gateway.parts;
  const lease = new LeaseHolder({
    store: gateway.store,
    clock,
    random,
    key: `/havenspur/lease/placement/${self.region}`,
    owner: self.id,
    terms: LEASE_TERMS,
  });
  const records = new Map<string, EngineRecord>();
  let statuses: readonly PlacementStatus[] = [];
  const loadRateLimiter = new LoadRateLimiter(clock.nowMs());
  /**
   * Each region has one lease holder, so the weight store's rate is divided by the
   * number of regions.
   */
  const countFreeLoads = () => {
    const regions = readRegions(gateway.configuration.catalog).length;
    const part = gateway.parts.options.weightLoadsPerMinute /
      Math.max(1, regions);
    return loadRateLimiter.refillAndCount(part, clock.nowMs());
  };

  const getRecord = (id: string): EngineRecord => {
    const known = records.get(id);
    if (known !== undefined) return known;
    const record = {
      hasOrderInFlight: false,
      failures: 0,
      retryAtMs: 0,
      lastFailedOrder: undefined,
      state: undefined,
      nextPollMs: 0,
    };
    records.set(id, record);
    return record;
  };

  /** Polls an engine; one that serves the declared version is polled less often than others. */
  const observe = async (
    server: BackendServer,
    wanted: string,
  ): Promise<PlacedEngine> => {
    const record = getRecord(server.id);
    const nowMs = clock.nowMs();
    if (nowMs >= record.nextPollMs) {
      record.state = (await backend.readState(server)).unwrapOr(undefined);
      recordFailure(record);
      const isSettled = record.state?.version === wanted &&
        record.state.loading === undefined;
      const pauseMs = SETTLED_POLL_INTERVAL_MS * (0.5 + random.nextFloat());
      record.nextPollMs = isSettled ? nowMs + pauseMs : nowMs;
    }
    return {
      id: server.id,
      service: server.service,
      isLeaving: server.isLeaving,
      state: record.state,
      retryAtMs: record.retryAtMs,
    };
  };

  const recordFailure = (record: EngineRecord) => {
    const { state } = record;
    const isNewFailure = state?.failure !== undefined &&
      state.orderId !== record.lastFailedOrder;
    if (isNewFailure) {
      record.lastFailedOrder = state.orderId;
      record.failures++;
      const maxDelayMs = Math.min(
        MAX_RETRY_MS,
        INITIAL_RETRY_MS * 2 ** (record.failures - 1),
      );
      record.retryAtMs = clock.nowMs() +
        maxDelayMs * (0.5 + random.nextFloat() / 2);
    }
    if (state?.failure === undefined && state?.loading === undefined) {
      record.failures = 0;
    }
  };

  const sendOrder = async (
    server: BackendServer,
    version: string | undefined,
  ) => {
    const record = getRecord(server.id);
    const { held } = lease;
    const decision = decideOrder({
      checksFencing: server.checksFencing,
      hasOrderInFlight: record.hasOrderInFlight,
    }, lease.isSafe(ORDER_DURATION_MS));
    if (decision.kind === "wait" || held === undefined) return;
    record.hasOrderInFlight = true;
    if (version !== undefined) loadRateLimiter.take();
    record.nextPollMs = 0;
    metrics.count("placement.orders");
    const orderId = createToken(random);
    const sent = await backend.order(server, {
      fencingToken: held.token,
      orderId,
      version,
    });
    record.hasOrderInFlight = false;
    if (sent.isErr() && sent.error.kind === "fenced") await lease.release();
  };

  return {
    readStatuses: () => lease.held === undefined ? [] : statuses,
    release: () => lease.release(),
    run: async () => {
      const wanted = readResources(gateway.configuration.catalog, "placement")
        .map(({ spec }) => spec).filter(({ region }) => region === self.region);
      const isPreferredHolder =
        rankNames(`placement ${self.region}`, gateway.membership.liveIds)[0] ===
          self.id;
      if (
        wanted.length === 0 ||
        (!isPreferredHolder && lease.held === undefined)
      ) {
        return;
      }
      await lease.renew();
      if (!isPreferredHolder) return await lease.release();
      if (lease.held === undefined) return;
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
          sendOrder(byId.get(engine)!, version)
        ),
      );
    },
  };
}
