import type { Clock, Random } from "../clock/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { HttpRoute, RouteTable } from "../http_routes/mod.ts";
import { type RegionId, toIncarnation } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import {
  isSameOrder,
  type RolloutBounds,
  type RolloutMember,
  RolloutTracker,
} from "../rollouts/mod.ts";
import type { ServerRegistry } from "../servers/mod.ts";
import type {
  RolloutSink,
  ServiceRollout,
  StateSource,
  WantedRollouts,
} from "../state/mod.ts";
import { RolloutGossip } from "./rollout_gossip.ts";
import {
  RolloutObserver,
  type RouteSummary,
  summarizeRoutes,
} from "./rollout_observer.ts";

/** What makes rollouts possible on a deployment. */
export interface RolloutSettings {
  readonly bounds: RolloutBounds;
  /** Writes what is due to the store. */
  readonly write: (wanted: WantedRollouts) => void;
}

/** Constructor arguments of {@linkcode RolloutController}. */
export interface RolloutControllerParts extends RolloutSettings {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly fleet: FleetView;
  readonly registry: ServerRegistry;
  /** Returns the source of orders and records, which is created after this controller. */
  readonly getState: () => StateSource;
  /** Returns whether this instance follows the store for its region. */
  readonly isRelay: () => boolean;
}

/** Rollout of a service, for operators. */
export interface RolloutListing extends ServiceRollout {
  readonly isBad: boolean;
  /** Calls of this instance at servers of versions that the order replaces. */
  readonly previousCalls: number;
  /** Responses that this instance has counted for the order. */
  readonly routes: readonly RouteSummary[];
}

/** Connects the rollouts of one instance to its state, its reports and the store. */
export class RolloutController {
  /** Decides which servers calls may use. */
  readonly tracker: RolloutTracker;
  /** Rollouts in the reports between instances. */
  readonly gossip: RolloutGossip;
  readonly #parts: RolloutControllerParts;
  readonly #observer: RolloutObserver;
  #table: RouteTable | undefined;
  /** Changes of the registry when its servers were last applied. */
  #appliedChanges = 0;

  /** @param parts State, servers, other instances and the writer. */
  constructor(parts: RolloutControllerParts) {
    const { bounds, clock, fleet, random } = parts;
    this.#parts = parts;
    const { id, incarnation, region } = fleet.self;
    this.tracker = new RolloutTracker({
      clock,
      random,
      bounds,
      fleet: {
        instance: id,
        incarnation: toIncarnation(incarnation),
        region,
        listMembers: () => this.#listMembers(),
        isInTouch: (nowMs) => this.#isInTouch(nowMs),
      },
      needsOwnServers: (service, region) =>
        this.#needsOwnServers(service, region as RegionId),
      onEvent: (event) => this.#observer.observe(event),
    });
    this.gossip = new RolloutGossip(this.tracker);
    this.#observer = new RolloutObserver({
      ...parts,
      readReportAgeMs: () => this.gossip.readReportAgeMs(clock.nowMs()),
    });
  }

  /** Receives the orders and records of the store. */
  get sink(): RolloutSink {
    return this.tracker;
  }

  /** Applies the routes of a configuration that comes into force. */
  setTable(table: RouteTable): void {
    this.#table = table;
  }

  /** Applies the registered servers. */
  applyServers(): void {
    const { registry } = this.#parts;
    this.#appliedChanges = registry.changeCount;
    this.tracker.applyServers(
      registry.servers.flatMap(({ coldUntilMs, entry }) => {
        const { id, region, service, version } = entry;
        if (version === undefined) return [];
        const isReady = registry.isUsable(id);
        return [{ id, service, region, version, isReady, coldUntilMs }];
      }),
    );
  }

  /** Writes what is due, if this instance is a relay that the store answers. */
  check(): void {
    const { clock, fleet, getState, isRelay, write } = this.#parts;
    const state = getState();
    if (!state.isLoaded || !state.isReachable || !isRelay()) return;
    const nowMs = clock.nowMs();
    const rank = fleet.readRelayRank(state.known, nowMs);
    const refused = state.rollouts?.listRefused() ?? [];
    const withoutStatus = new Set(
      [...refused, ...this.#listUnrecorded()].map(({ service }) => service),
    );
    write({
      rank,
      records: this.tracker.planWrites(nowMs, rank),
      statuses: [
        ...this.tracker.listStatuses()
          .filter(({ service }) => !withoutStatus.has(service)),
        ...refused,
      ],
    });
  }

  /** Returns the services whose record is of an earlier order: its status says nothing of this one. */
  #listUnrecorded(): readonly ServiceRollout[] {
    const known = this.#parts.getState().rollouts?.list() ?? [];
    return known.filter(({ order, record }) =>
      order !== undefined &&
      (record?.order === undefined || !isSameOrder(order, record.order))
    );
  }

  /** Updates servers whose state changed without a write to the store, and the metrics. */
  sweep(): void {
    const reports = this.tracker.createReports("instance");
    const isChanged = this.#parts.registry.changeCount !== this.#appliedChanges;
    // While an order runs, its canary servers also depend on the time.
    if (isChanged || reports.length > 0) this.applyServers();
    const known = this.#parts.getState().rollouts?.list() ?? [];
    const records = known.flatMap(({ record }) => record ?? []);
    this.#observer.measure(records, reports);
  }

  /** Returns the rollouts by service, with what this instance has counted for orders that run. */
  list(): readonly RolloutListing[] {
    const reports = this.tracker.createReports("instance");
    return (this.#parts.getState().rollouts?.list() ?? []).map((known) => {
      const report = reports.find(({ service }) => service === known.service);
      return {
        ...known,
        isBad: report?.isBad ?? false,
        previousCalls: report?.previousCalls ?? 0,
        routes: summarizeRoutes(report?.evidence ?? []),
      };
    });
  }

  /** Returns this instance, and the others that may still send calls. */
  #listMembers(): readonly RolloutMember[] {
    const { clock, fleet, getState } = this.#parts;
    const running = fleet.listPossiblyRunning(clock.nowMs());
    const registered = getState().instances ?? [];
    const members = new Map(
      [
        // Earlier software writes no region; such an instance is known once it reports.
        ...registered.flatMap(({ id, region }) =>
          region === undefined ? [] : [{ id, region }]
        ),
        ...running,
        fleet.self,
      ].map(({ id, region }) => [id, { instance: id, region }]),
    );
    return [...members.values()];
  }

  #isInTouch(nowMs: number): boolean {
    return this.gossip.hasContact(nowMs) || this.#listMembers().length === 1;
  }

  /** Returns whether a route or a team binds calls of a service to one region. */
  #needsOwnServers(service: string, region: RegionId): boolean {
    const { routes = [], teams } = this.#table?.configuration ?? {};
    const isBound = ({ homeRegions }: Pick<HttpRoute, "homeRegions">) =>
      homeRegions?.length === 1 && homeRegions[0] === region;
    const hasBoundTeam = teams?.teams.some(isBound) ?? false;
    return routes.some((route) =>
      (isBound(route) || hasBoundTeam && !route.isPublic) &&
      route.services.some((each) => each.service === service)
    );
  }
}
