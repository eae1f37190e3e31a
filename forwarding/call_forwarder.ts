import {
  FleetLimits,
  type LimitBounds,
  type ReportedTeamUsage,
} from "../admission/mod.ts";
import {
  Cancellation,
  type Clock,
  type Random,
  scheduleAfterReading,
} from "../clock/mod.ts";
import type { FleetView, LoadTracker, ReportedPrefix } from "../fleet/mod.ts";
import {
  findHostHomes,
  type HostHomes,
  type HttpService,
  pickService,
  RouteCallCounter,
  type RouteTable,
} from "../http_routes/mod.ts";
import type { BackendId, CallFingerprint, RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CallQuarantine, CrashReport } from "../quarantine/mod.ts";
import type { RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { CallHeaderCodec } from "./call_header_codec.ts";
import {
  canEndInTime,
  type WithdrawalSources,
} from "./can_withdraw_in_time.ts";
import { CallGate } from "./call_gate.ts";
import { CallReplies } from "./call_replies.ts";
import { CallSender } from "./call_sender.ts";
import {
  DestinationChooser,
  type NoDestination,
} from "./choose_destination.ts";
import { createExchange, type RoutedCall } from "./create_exchange.ts";
import { ServerChooser } from "./choose_server.ts";
import { CrashConfirmer } from "./crash_confirmer.ts";
import { type Exchange, hasOtherDestination } from "./exchange.ts";
import { InstanceSender } from "./instance_sender.ts";
import { LearnedServers } from "./learned_servers.ts";
import { LinkProber, type ProbeServer } from "./link_prober.ts";
import type { CallHead, CallSink, OpaqueCall } from "./opaque_call.ts";
import { OpenHopSends } from "./open_hop_sends.ts";
import {
  describeServers,
  isWaitFutile,
  toNoCapacityRefusal,
} from "./no_capacity.ts";
import { QuarantineGuard } from "./quarantine_guard.ts";
import { readRemainingMs } from "./read_remaining_ms.ts";
import type { Refusal } from "./refusal.ts";
import { FleetRetryBudgets, type RetryBounds } from "./fleet_retry_budget.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerLimits } from "./server_limits.ts";
import { ServerReachability } from "./server_reachability.ts";
import { ServerSender } from "./server_sender.ts";
import { ServerVersions, type VersionRules } from "./server_versions.ts";
import { NO_CAPACITY_RETRY_MS } from "./settle_attempt.ts";
import { CapacityQueue } from "./capacity_queue.ts";
import { describeTeamChanges } from "../teams/mod.ts";
import type { WarmUpBounds } from "./warm_up_gate.ts";
import { WithdrawnCalls } from "./withdrawn_calls.ts";

/**
 * Fraction of its latency objective for which a call waits for capacity before it is
 * refused: early enough for the caller to be served elsewhere in time.
 */
const MAX_WAIT_TARGET_FRACTION = 0.25;
/**
 * How long a call waits for the first configuration after a start, in milliseconds.
 * Reading the configuration takes less than 100 ms, and a refusal after more than a
 * quarter of the shortest latency objectives would be late.
 */
const MAX_CONFIGURATION_WAIT_MS = 100;
/** When callers may retry at an instance that has no configuration yet, in milliseconds. */
export const NO_CONFIGURATION_RETRY_MS = 500;
/** Number of waiting calls that are woken when capacity may be available. */
const CALLS_WOKEN_AT_ONCE = 2;

/** Dependencies and settings of a {@linkcode CallForwarder}. */
export interface CallForwarderParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly headerCodec: CallHeaderCodec;
  /** Sends to backend servers. */
  readonly client: ServerClient;
  /** Sends to other instances. */
  readonly peerClient: ServerClient;
  readonly registry: ServerRegistry;
  readonly fleet: FleetView;
  readonly loads: LoadTracker;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns how far the event loop of this instance was behind of late, in milliseconds. Default: 0. */
  readonly readRecentDelayMs?: () => number;
  readonly retryBounds: RetryBounds;
  readonly warmUpBounds: WarmUpBounds;
  /** How far usage may exceed the limits of teams. */
  readonly limitBounds: LimitBounds;
  /** Opens a connection to a server, to learn whether it can be reached. */
  readonly probeServer: ProbeServer;
  /** Stores a quarantined call where instances that start later find it. Default: it is not stored. */
  readonly storeQuarantinedCall?: ((report: CrashReport) => void) | undefined;
  /** Removes a released call from where it is stored. Default: does nothing. */
  readonly removeQuarantinedCall?:
    | ((call: CallFingerprint) => void)
    | undefined;
  /**
   * Returns the place of this instance in the order in which instances try a quarantined call.
   * Default: 0, as if it were the only one.
   */
  readonly rankSelf?: (call: CallFingerprint) => number;
  /** Rollouts of services. Default: versions of servers have no effect. */
  readonly rollouts?: VersionRules | undefined;
}

/** Accepts calls, sends each to a backend server or a remote instance, and passes on the answers. */
export class CallForwarder {
  readonly #parts: CallForwarderParts;
  readonly #replies: CallReplies;
  readonly #learned: LearnedServers;
  readonly #quarantineGuard: QuarantineGuard;
  readonly #destinations: DestinationChooser;
  readonly #waitingCalls: CapacityQueue;
  readonly #retryBudgets: FleetRetryBudgets;
  readonly #routeUsage = new RouteCallCounter();
  readonly #sender: CallSender;
  readonly #teamLimits: FleetLimits;
  readonly #gate: CallGate;
  readonly #reachability: ServerReachability;
  readonly #linkProber: LinkProber;
  readonly #versions: ServerVersions;
  readonly #withdrawnCalls = new WithdrawnCalls();
  readonly #openHopSends = new OpenHopSends();
  readonly #withdrawals: WithdrawalSources;
  #table: RouteTable | undefined;
  #inFlight = 0;

  /** @param parts Dependencies and settings. */
  constructor(parts: CallForwarderParts) {
    const { fleet, loads, random, registry } = parts;
    this.#parts = parts;
    this.#withdrawals = {
      fleet,
      readRecentDelayMs: parts.readRecentDelayMs ?? (() => 0),
    };
    this.#retryBudgets = new FleetRetryBudgets(parts.retryBounds);
    this.#quarantineGuard = new QuarantineGuard(parts);
    this.#waitingCalls = new CapacityQueue(parts.clock);
    this.#teamLimits = new FleetLimits({
      ownRegion: fleet.self.region,
      startedMs: parts.clock.nowMs(),
      random,
      bounds: parts.limitBounds,
      readUsageOfOthers: (team) => fleet.teamUsage.readOthers(team),
    });
    this.#gate = new CallGate({ ...parts, limits: this.#teamLimits });
    this.#replies = new CallReplies({
      ...parts,
      readVersion: () => this.#table?.configuration.version,
    });
    this.#learned = new LearnedServers({
      fleet,
      warmUpBounds: parts.warmUpBounds,
      readMemoryTokens: (server) => this.#readMemoryTokens(server),
    });
    const ownRegion = fleet.self.region;
    const versions = new ServerVersions({ ...parts, ownRegion });
    this.#versions = versions;
    const known = {
      ownRegion,
      registry: versions,
      loads,
      learned: this.#learned,
    };
    const reachability = new ServerReachability(known);
    this.#reachability = reachability;
    this.#linkProber = new LinkProber({ ...parts, ...known, reachability });
    const servers = new ServerChooser({
      ...known,
      registry,
      reachability,
      random,
      countOthers: () =>
        fleet.countInstancesSharingLimits(fleet.self.region) - 1,
    });
    this.#destinations = new DestinationChooser({
      fleet,
      servers,
      reachability,
      versions,
      random,
      listRegions: () => fleet.listRegions(),
    });
    this.#sender = new CallSender({
      ...parts,
      withdrawals: this.#withdrawals,
      replies: this.#replies,
      destinations: this.#destinations,
      learned: this.#learned,
      retryBudgets: this.#retryBudgets,
      quarantine: this.quarantine,
      serverSender: new ServerSender({
        ...parts,
        quarantine: this.quarantine,
        crashConfirmer: new CrashConfirmer({
          ...parts,
          ...known,
          links: this.#learned.links,
          quarantine: this.quarantine,
        }),
        learned: this.#learned,
        versions,
        replies: this.#replies,
      }),
      instanceSender: new InstanceSender({
        ...parts,
        client: parts.peerClient,
        replies: this.#replies,
        destinations: this.#destinations,
      }),
      onServerFree: () => this.wakeWaitingCalls(),
    });
  }

  /** Quarantine of calls that crash servers. */
  get quarantine(): CallQuarantine {
    return this.#quarantineGuard.quarantine;
  }

  /** Stores all quarantined calls again, after the store has lost some. */
  storeAllQuarantinedCallsAgain(): void {
    this.#quarantineGuard.storeAllAgain(this.#parts.clock.nowMs());
  }

  /** Limits that servers advertise. */
  get serverLimits(): ServerLimits {
    return this.#learned.limits;
  }

  /** Number of calls that are being served. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of calls that wait for capacity. */
  get waiting(): number {
    return this.#waitingCalls.length;
  }

  /** Applies a configuration, and wakes all waiting calls. */
  setTable(table: RouteTable): void {
    this.#logTeamChanges(table);
    this.#table = table;
    const { routes, teams } = table.configuration;
    this.#routeUsage.keepOnly(routes);
    this.#teamLimits.keepOnly(
      new Set(teams?.teams.map(({ id }) => id)),
      this.#parts.clock.nowMs(),
    );
    this.#waitingCalls.wakeFirst(this.#waitingCalls.length);
  }

  /** Returns how long the servers of a service are cold after a start, in milliseconds. */
  readWarmUpMs(service: string): number {
    return this.#table?.findService(service)?.warmUpMs ?? 0;
  }

  /** Returns the regions to which callers of a host may be directed. */
  findHomes(host: string): HostHomes {
    const nowMs = this.#parts.clock.nowMs();
    return findHostHomes(
      this.#table?.listRoutes(host) ?? [],
      (route) => this.#routeUsage.read(route, nowMs),
    );
  }

  /** Replaces the bounds on retries. The retries counted so far remain counted. */
  setRetryBounds(bounds: RetryBounds): void {
    this.#retryBudgets.setBounds(bounds);
  }

  /** Returns the usage of teams at this instance, for the next report. */
  listTeamUsage(nowMs: number): readonly ReportedTeamUsage[] {
    return this.#teamLimits.listOwnUsage(nowMs);
  }

  /** Updates the numbers of regions and instances among which the limits of teams are shared. */
  updateInstanceCounts(): void {
    const { clock, fleet } = this.#parts;
    const nowMs = clock.nowMs();
    this.#teamLimits.setInstanceCounts(
      fleet.countInstancesByRegion(nowMs),
      fleet.registeredCount,
      nowMs,
    );
  }

  /** Probes servers that this instance may not reach. Called periodically. */
  probeLinks(): void {
    this.#linkProber.run();
  }

  /** Returns the services whose servers in the local region all fail for this instance. */
  listLostServices(): readonly string[] {
    return this.#reachability.listLostServices(this.#parts.clock.nowMs());
  }

  /** Number of servers that this instance cannot reach. */
  get unreachableServerCount(): number {
    return this.#learned.links.unreachableCount;
  }

  /** Wakes the first waiting calls, which then look for capacity again. */
  wakeWaitingCalls(): void {
    this.#waitingCalls.wakeFirst(CALLS_WOKEN_AT_ONCE);
  }

  /** Returns the model engines of a region that calls may be sent to. */
  listEngines(region: RegionId): readonly RegisteredServer[] {
    return this.#parts.registry.servers
      .filter((server) =>
        this.#parts.registry.isUsable(server.entry.id) &&
        this.#table?.findService(server.entry.service)?.engine !== undefined &&
        this.#versions.mayServe(server)
      ).map(({ entry }) => entry)
      .filter((entry) => entry.region === region);
  }

  /** Returns the prompt parts sent since the last invocation, for the next report. */
  takeUnreportedPrefixes(): readonly ReportedPrefix[] {
    return this.#learned.takeUnreported();
  }

  /** Records prompt parts that other instances have sent to servers. */
  recordPrefixes(prefixes: readonly ReportedPrefix[]): void {
    this.#learned.recordPrefixes(prefixes);
  }

  /** Discards what is known of servers that are no longer registered. */
  forgetUnregisteredServers(): void {
    const known = this.#parts.registry.servers.map(({ entry }) => entry.id);
    this.#learned.keepOnly(new Set<BackendId>(known));
  }

  /**
   * Serves one call.
   *
   * @param call The call.
   * @param sink Destination of the answer.
   */
  async handle(call: OpaqueCall, sink: CallSink): Promise<void> {
    const end = this.#openHopSends.begin(call.origin);
    if (end === undefined) {
      this.#refuseDuplicate(call, sink);
      return;
    }
    this.#inFlight++;
    try {
      await this.#serve(call, sink);
    } finally {
      this.#inFlight--;
      end();
    }
  }

  /** Returns why a call is refused before its body is read, or `undefined` if it is not. */
  findHeadRefusal(call: CallHead): Refusal | undefined {
    if (this.#table === undefined) return undefined;
    const { configuration } = this.#table;
    const facts = this.#parts.headerCodec.readCall(call.headers);
    const route = this.#table.findRoute(facts.host, call.target);
    return this.#gate.findHeadRefusal({ call, facts, route, configuration });
  }

  /** Returns the deadline of a call, in milliseconds on this instance's clock. */
  computeDeadlineMs(call: OpaqueCall): number {
    const facts = this.#parts.headerCodec.readCall(call.headers);
    const route = this.#table?.findRoute(facts.host, call.target);
    return call.receivedMs + readRemainingMs({ call, facts, route });
  }

  /**
   * Answers a call with a refusal, with additional headers if an instance has forwarded it.
   *
   * @param call The call.
   * @param sink Destination of the answer.
   * @param refusal Why the call is refused.
   */
  refuse(call: OpaqueCall, sink: CallSink, refusal: Refusal): void {
    this.#replies.refuse(call, sink, refusal);
  }

  #refuseDuplicate(call: OpaqueCall, sink: CallSink): void {
    const { headerCodec, logger, metrics } = this.#parts;
    metrics.count("call.duplicates");
    logger.warn("call arrived twice", {
      call: headerCodec.readCall(call.headers).callId,
      origin: call.origin.kind === "instance" ? call.origin.hop.from : "caller",
    });
    this.refuse(call, sink, {
      reason: "duplicate",
      message: "The same send of the call is being served",
    });
  }

  async #serve(call: OpaqueCall, sink: CallSink): Promise<void> {
    const facts = this.#parts.headerCodec.readCall(call.headers);
    await this.#awaitConfiguration(call, sink);
    if (this.#table === undefined) {
      this.refuse(call, sink, {
        reason: "no-configuration",
        message: "This instance knows no configuration yet",
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
      return;
    }
    const { configuration } = this.#table;
    const route = this.#table.findRoute(facts.host, call.target);
    const admitted = this.#gate.admit({ call, facts, route, configuration });
    if (admitted.isErr()) {
      this.refuse(call, sink, admitted.error);
      return;
    }
    if (route === undefined) {
      this.#refuseUnrouted(call, sink, facts.host);
      return;
    }
    const { access, settle } = admitted.value;
    const served = { call, sink, facts, access, route };
    settle(await this.#serveRouted(served, this.#table));
  }

  /** Serves a call whose route is known. Returns whether the call may have run. */
  async #serveRouted(
    served: Omit<RoutedCall, "service" | "maxTokenGapMs">,
    table: RouteTable,
  ): Promise<boolean> {
    const { call, route, sink } = served;
    const name = call.origin.kind === "instance"
      ? call.origin.hop.service
      : pickService(route, this.#parts.random.nextFloat());
    const service = table.findService(name);
    if (service === undefined) {
      this.refuse(call, sink, {
        reason: "no-room",
        message: `The service of route "${route.name}" is not declared`,
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
      return false;
    }
    if (this.#mayEndLate(call, service)) {
      this.refuse(call, sink, {
        reason: "behind",
        message: "This instance is behind, and may end a second send too late",
        retryAfterMs: NO_CAPACITY_RETRY_MS,
      });
      return false;
    }
    if (call.origin.kind === "caller") {
      this.#retryBudgets.recordCall(service.name, call.receivedMs);
      this.#routeUsage.record(route, call.receivedMs);
    }
    const maxTokenGapMs = table.findMaxTokenGapMs(service.name);
    return await this.#forwardUntilDeadline({
      ...served,
      service,
      maxTokenGapMs,
    });
  }

  /** Returns whether this instance may withdraw a call too late that another one hands over to it. */
  #mayEndLate({ origin }: OpaqueCall, { engine }: HttpService): boolean {
    return origin.kind === "instance" && origin.hop.isHandover &&
      engine !== undefined && !canEndInTime(this.#withdrawals);
  }

  /** Waits for the first configuration, for a limited time after the call arrived. */
  async #awaitConfiguration(call: OpaqueCall, sink: CallSink): Promise<void> {
    const { clock } = this.#parts;
    const untilMs = call.receivedMs + MAX_CONFIGURATION_WAIT_MS;
    const ticket = { rank: 0, order: this.#waitingCalls.takeOrder() };
    while (this.#table === undefined && !sink.signal.aborted) {
      const maxWaitMs = untilMs - clock.nowMs();
      if (maxWaitMs <= 0) return;
      await this.#waitingCalls.wait(ticket, maxWaitMs, sink.signal);
    }
  }

  #refuseUnrouted(call: OpaqueCall, sink: CallSink, host: string): void {
    // The instance that forwarded a call may have a newer configuration, with a route for it.
    const isForwarded = call.origin.kind === "instance";
    this.refuse(call, sink, {
      reason: isForwarded ? "no-room" : "no-route",
      message: `No route has host "${host}" and begins path "${call.target}"`,
    });
  }

  /**
   * Forwards a call, and aborts it when its deadline passes or its caller disconnects.
   *
   * @returns Whether the call may have run.
   */
  async #forwardUntilDeadline(routed: RoutedCall): Promise<boolean> {
    const { clock } = this.#parts;
    const { call, sink } = routed;
    const callAbort = new AbortController();
    const timer = new Cancellation();
    const giveUp = () => callAbort.abort("given up");
    sink.signal.addEventListener("abort", giveUp, { once: true });
    const deadlineMs = call.receivedMs + readRemainingMs(routed);
    const leftMs = deadlineMs - clock.nowMs();
    // A timer with no time left would only fire after the call was sent. The timer lets
    // arrived data be read first, so that an answer that arrived in time is passed on even
    // if this instance reads it late.
    if (leftMs > 0) scheduleAfterReading(clock, leftMs, giveUp, timer);
    else giveUp();
    const exchange = createExchange(routed, {
      deadlineMs,
      signal: callAbort.signal,
      waitOrder: this.#waitingCalls.takeOrder(),
      onlyServers: this.#withdrawnCalls.findOnlyServers(routed, clock.nowMs()),
    });
    const endServing = this.#quarantineGuard.begin(exchange, giveUp);
    await this.#forward(exchange);
    this.#withdrawnCalls.recordIfWithdrawn(exchange, clock.nowMs());
    endServing();
    timer.cancel();
    sink.signal.removeEventListener("abort", giveUp);
    return exchange.mayHaveRun || exchange.progress.hasBegun;
  }

  async #forward(exchange: Exchange): Promise<void> {
    while (!exchange.signal.aborted) {
      const nowMs = this.#parts.clock.nowMs();
      if (this.#refuseQuarantined(exchange, nowMs)) return;
      const destination = this.#destinations.choose(exchange, nowMs);
      if (destination.kind === "local" || destination.kind === "remote") {
        if (await this.#sender.send(exchange, destination)) return;
        continue;
      }
      const { access: { rank } } = exchange;
      const maxWaitMs = computeMaxWaitMs(exchange, nowMs);
      if (isWaitFutile(destination, nowMs, maxWaitMs)) {
        this.#refuseForCapacity(exchange, destination, nowMs);
        return;
      }
      await this.#waitingCalls.wait(
        { rank, order: exchange.waitOrder },
        maxWaitMs,
        exchange.signal,
      );
    }
    if (this.#refuseQuarantined(exchange, this.#parts.clock.nowMs())) return;
    this.#replies.finishUnanswered(exchange, {
      reason: exchange.mayHaveRun ? "timed-out" : "no-time",
      message: "The time of the call is over",
      retryAfterMs: exchange.mayHaveRun ? undefined : NO_CAPACITY_RETRY_MS,
    });
  }

  #refuseForCapacity(
    exchange: Exchange,
    destination: NoDestination,
    nowMs: number,
  ): void {
    const service = exchange.service.name;
    const known = {
      ...this.#parts,
      registry: this.#versions,
      learned: this.#learned,
    };
    this.#replies.finishUnanswered(
      exchange,
      toNoCapacityRefusal(service, destination, nowMs),
      { servers: describeServers(service, nowMs, known) },
    );
  }

  #refuseQuarantined(exchange: Exchange, nowMs: number): boolean {
    const refusal = this.#quarantineGuard.findRefusal(exchange, nowMs);
    if (refusal === undefined) return false;
    const content = exchange.content.fingerprint;
    this.#replies.finishUnanswered(exchange, refusal, { content });
    return true;
  }

  /** Logs which keys and limits a configuration changes. */
  #logTeamChanges({ configuration: { teams, version } }: RouteTable): void {
    const before = this.#table?.configuration.teams;
    const changes = describeTeamChanges(before, teams);
    if (changes === undefined) return;
    this.#parts.logger.info("teams changed", { version, ...changes });
  }

  #readMemoryTokens(server: BackendId): number {
    const service = this.#parts.registry.find(server)?.entry.service;
    if (service === undefined) return 0;
    return this.#table?.findService(service)?.engine?.cacheTokens ?? 0;
  }
}

/** Returns how long a call may still wait for capacity, in milliseconds. */
function computeMaxWaitMs(exchange: Exchange, nowMs: number): number {
  if (hasOtherDestination(exchange)) return 0;
  const { call: { receivedMs }, deadlineMs, progress, route } = exchange;
  // An answer that has begun can't be refused, only broken off.
  if (progress.hasBegun) return deadlineMs - nowMs;
  return receivedMs + MAX_WAIT_TARGET_FRACTION * route.targetMs - nowMs;
}
