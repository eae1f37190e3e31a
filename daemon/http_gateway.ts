import {
  type Clock,
  EventLoopDelay,
  type ProcessStall,
  type Random,
  scheduleEvery,
} from "../clock/mod.ts";
import {
  CapacityMonitor,
  type CarriedWork,
  type InstanceLimits,
} from "../capacity/mod.ts";
import {
  AnswerRecorder,
  type EntryAnswer,
  pickEntries,
} from "../directory/mod.ts";
import {
  type FleetReport,
  FleetView,
  LoadTracker,
  type MemberRecord,
  type SendReport,
} from "../fleet/mod.ts";
import {
  type CachedParts,
  CallForwarder,
  type CallHeaderCodec,
  type CallSink,
  EventLoopGate,
  NO_CAPACITY_RETRY_MS,
  type OpaqueCall,
  type ProbeServer,
  type RetryBounds,
  type ServerClient,
  toCachedPrefixes,
  type VersionRules,
  type WarmUpBounds,
} from "../forwarding/mod.ts";
import type { CallerLimits, RouteTable } from "../http_routes/mod.ts";
import type { LimitBounds } from "../admission/mod.ts";
import type { CallFingerprint, RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { rankNames } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CrashReport } from "../quarantine/mod.ts";
import { type RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { RolloutSink, StateSource } from "../state/mod.ts";
import type { Result } from "neverthrow";
import { FleetReporter } from "./fleet_reporter.ts";
import { LimitGossip } from "./limit_gossip.ts";
import { GracefulShutdown, type ShutdownOptions } from "./graceful_shutdown.ts";
import {
  RolloutController,
  type RolloutSettings,
} from "./rollout_controller.ts";
import { PeerCatchUp, type ReadPeerState } from "./peer_catch_up.ts";

/** Interval between sweeps of expired state, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;

const DEFAULT_LIMIT_BOUNDS: LimitBounds = {
  windowMs: 8_000,
  overshoot: 0,
  slack: 0,
};

/** Recipients of what a source of routes and servers reads. */
export interface StateSinks {
  /** Registry of the servers, which the source updates. */
  readonly registry: ServerRegistry;
  /** Applies each configuration that comes into force. */
  readonly applyTable: (table: RouteTable) => void;
  /** Called after each change of the registry. */
  readonly onServers: () => void;
  /** Called with each quarantined call that is stored in the store. */
  readonly onRefusedCall: (report: CrashReport) => void;
  /** Receives orders and records of rollouts. Default: rollouts are off. */
  readonly rollouts?: RolloutSink | undefined;
  /** Called when the store has been restored from an older copy. */
  readonly onRestored: () => void;
  /** Whether this instance follows the store for its region. */
  readonly isRelay: () => boolean;
}

/** Ports and settings of an {@linkcode HttpGateway}. */
export interface HttpGatewayParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Reads and writes the headers of calls. */
  readonly headerCodec: CallHeaderCodec;
  /** Sends calls to backend servers. */
  readonly client: ServerClient;
  /** Sends calls to other instances. */
  readonly peerClient: ServerClient;
  /** Opens a connection to a server, to learn whether it can be reached. Default: always successful. */
  readonly probeServer?: ProbeServer;
  /** Record of this instance. */
  readonly self: Omit<MemberRecord, "state">;
  /** Resources that this instance may use. Default: unknown, and it reports no capacity. */
  readonly instanceLimits?: InstanceLimits;
  /** Memory for calls in progress, which is measured. Default: unknown. */
  readonly carriedWork?: Pick<CarriedWork, "bodyBytes" | "headBytes">;
  /** Returns how many bytes the instance has transferred in each direction. Default: not measured. */
  readonly readLinkBytes?: () => number;
  /** Addresses of a few instances, some of which may be dead. */
  readonly seedAddresses: readonly string[];
  /** Creates the source of routes and servers. */
  readonly createState: (sinks: StateSinks) => StateSource;
  /** Bounds on retries. */
  readonly retryBounds: RetryBounds;
  /** Bounds on calls to cold servers. */
  readonly warmUpBounds: WarmUpBounds;
  /** Usage allowed beyond the limits of teams. Default: none, over a window of 8 s. */
  readonly limitBounds?: LimitBounds;
  /** Which versions of servers calls may use. Default: those that `rollouts` allows. */
  readonly versionRules?: VersionRules | undefined;
  /** Stores a quarantined call for instances that start later. Default: it is not stored. */
  readonly storeQuarantinedCall?: (report: CrashReport) => void;
  /** Removes a released call from the store. Default: does nothing. */
  readonly removeQuarantinedCall?: (call: CallFingerprint) => void;
  /** Bounds and writer of rollouts. Default: rollouts are off, and versions have no effect. */
  readonly rollouts?: RolloutSettings | undefined;
  /** Sends a report to addresses. */
  readonly sendReport: SendReport;
  /**
   * Reads the state that the instance at an address knows beyond a position. Default: not
   * read, as the source distributes its changes itself.
   */
  readonly readPeerState?: ReadPeerState;
  /** Reads which prompt parts the engine at an address has cached. Default: not read, but derived from the prompts sent to it. */
  readonly readCachedParts?: (
    address: string,
    signal: AbortSignal,
  ) => Promise<Result<CachedParts, string>>;
  /** Applies the limits on callers of each configuration. */
  readonly applyLimits: (limits: CallerLimits) => void;
  /** Called with the addresses of all servers after each change. */
  readonly applyAddresses: (addresses: ReadonlySet<string>) => void;
}

/** Settings of an {@linkcode HttpGateway} that can change while it runs. */
export type LiveSettings = Pick<
  HttpGatewayParts,
  "seedAddresses" | "retryBounds"
>;

/** Instance that forwards plain HTTP calls, without its sockets. */
export class HttpGateway {
  /** Delay of the event loop, measured from `start` on. */
  readonly loopDelay: EventLoopDelay;
  /** View of the instances. */
  readonly fleet: FleetView;
  /** Forwards calls to servers and to other instances. */
  readonly forwarder: CallForwarder;
  /** Source of routes and servers. */
  readonly state: StateSource;
  /** Registry of the servers. */
  readonly registry: ServerRegistry;
  /** Rollouts; `undefined`: they are off. */
  readonly rollouts: RolloutController | undefined;
  readonly #parts: HttpGatewayParts;
  readonly #catchUp: PeerCatchUp | undefined;
  readonly #eventLoopGate: EventLoopGate;
  readonly #reporter: FleetReporter;
  readonly #answerRecorder: AnswerRecorder;
  readonly #capacity: CapacityMonitor;
  #shutdown: GracefulShutdown | undefined;
  #hasReadPrefixCaches = false;
  #signal: AbortSignal | undefined;

  /** @param parts Ports and settings. */
  constructor(parts: HttpGatewayParts) {
    const { clock, logger, random } = parts;
    this.#parts = parts;
    this.loopDelay = new EventLoopDelay(clock, {
      onStall: (stall) => this.#recordStall(stall),
    });
    this.#eventLoopGate = new EventLoopGate(clock);
    this.#answerRecorder = new AnswerRecorder(parts);
    this.#capacity = new CapacityMonitor(parts.instanceLimits ?? {});
    const loads = new LoadTracker();
    this.fleet = new FleetView({
      self: parts.self,
      loads,
      startMs: clock.nowMs(),
    });
    this.fleet.setCapacity(this.#capacity.capacity);
    this.registry = new ServerRegistry({
      readWarmUpMs: (service) => this.forwarder.readWarmUpMs(service),
    });
    this.rollouts = parts.rollouts && new RolloutController({
      ...parts,
      ...parts.rollouts,
      fleet: this.fleet,
      registry: this.registry,
      getState: () => this.state,
      isRelay: () => this.#isRelay(),
    });
    this.forwarder = new CallForwarder({
      clock,
      random,
      headerCodec: parts.headerCodec,
      client: parts.client,
      peerClient: parts.peerClient,
      probeServer: parts.probeServer ?? (() => Promise.resolve(true)),
      registry: this.registry,
      fleet: this.fleet,
      loads,
      readRecentDelayMs: () => this.loopDelay.readPeakMs(),
      logger,
      metrics: parts.metrics,
      retryBounds: parts.retryBounds,
      warmUpBounds: parts.warmUpBounds,
      limitBounds: parts.limitBounds ?? DEFAULT_LIMIT_BOUNDS,
      storeQuarantinedCall: parts.storeQuarantinedCall,
      removeQuarantinedCall: parts.removeQuarantinedCall,
      rankSelf: (call) => this.#rankSelf(call),
      rollouts: parts.versionRules ?? this.rollouts?.tracker,
    });
    this.state = parts.createState({
      registry: this.registry,
      applyTable: (table) => {
        parts.applyLimits(table.configuration.limits);
        this.rollouts?.setTable(table);
        this.forwarder.setTable(table);
        if (this.#shutdown === undefined) this.fleet.setState("ready");
      },
      onServers: () => this.#applyServers(),
      onRefusedCall: (report) =>
        void this.forwarder.quarantine.mergeReports([report], clock.nowMs()),
      onRestored: () => {
        // All instances know the same quarantined calls, so only the relays, which follow
        // the store, write them.
        if (this.#isRelay()) this.forwarder.storeAllQuarantinedCallsAgain();
      },
      isRelay: () => this.#isRelay(),
      rollouts: this.rollouts?.sink,
    });
    const { readPeerState } = parts;
    this.#catchUp = readPeerState && new PeerCatchUp({
      clock,
      fleet: this.fleet,
      state: this.state,
      logger,
      readPeerState,
    });
    this.#reporter = new FleetReporter({
      clock,
      random,
      loads,
      fleet: this.fleet,
      state: this.state,
      seedAddresses: parts.seedAddresses,
      sendReport: parts.sendReport,
      takeUnreportedPrefixes: () => this.forwarder.takeUnreportedPrefixes(),
      recordPrefixes: (prefixes) => this.forwarder.recordPrefixes(prefixes),
      listTeamUsage: (nowMs) => this.forwarder.listTeamUsage(nowMs),
      quarantine: this.forwarder.quarantine,
      limits: new LimitGossip({
        ownRegion: parts.self.region,
        limits: this.forwarder.serverLimits,
        logger,
      }),
      rollouts: this.rollouts?.gossip,
      onRound: () => {
        this.rollouts?.check();
        this.forwarder.updateInstanceCounts();
        this.forwarder.wakeWaitingCalls();
        this.#catchUp?.check();
      },
      onNewState: () => this.#catchUp?.check(),
    });
  }

  /** Whether callers may be directed to this instance. */
  get isReady(): boolean {
    return this.state.isLoaded && this.#shutdown === undefined;
  }

  /**
   * Returns the instances that a caller may connect to.
   *
   * @param region Region of the caller.
   * @param host Host that the caller wants to call.
   * @param caller IP address of the caller. Default: unknown.
   */
  pickEntries(region: RegionId, host: string, caller?: string): EntryAnswer {
    const findHomes = () => this.forwarder.findHomes(host);
    const nowMs = this.#parts.clock.nowMs();
    const isCutOff = (member: MemberRecord) => this.#isCutOff(member);
    const answer = pickEntries(
      this.fleet,
      { region, findHomes, isCutOff, caller },
      nowMs,
    );
    this.#answerRecorder.record({
      ...answer,
      region,
      host,
      configurationVersion: this.state.known.configurationVersion,
      describeMembers: () => this.fleet.describe(nowMs),
    });
    return answer;
  }

  /** Starts following the store and exchanging reports with other instances. */
  start(signal: AbortSignal): void {
    const { clock } = this.#parts;
    this.#signal = signal;
    this.loopDelay.start(signal);
    void this.state.run(signal);
    this.#reporter.start(signal);
    const sweep = async () => {
      await this.loopDelay.awaitCaughtUp();
      this.#sweep();
    };
    scheduleEvery(clock, SWEEP_INTERVAL_MS, sweep, signal);
  }

  /** Applies settings that can change while the instance runs. */
  applySettings(settings: LiveSettings): void {
    this.#reporter.setSeedAddresses(settings.seedAddresses);
    this.forwarder.setRetryBounds(settings.retryBounds);
  }

  /** Serves one call. */
  async handle(call: OpaqueCall, sink: CallSink): Promise<void> {
    await this.loopDelay.awaitCaughtUp();
    if (!await this.#eventLoopGate.enter()) {
      this.refuseOverloaded(
        call,
        sink,
        "More calls come than this instance can forward",
      );
      return;
    }
    if (sink.signal.aborted) {
      const { headerCodec, logger } = this.#parts;
      logger.info("connection closed within the call", {
        call: headerCodec.readCall(call.headers).callId,
        reason: String(sink.signal.reason),
      });
      return;
    }
    const shutdown = this.#shutdown;
    if (shutdown === undefined || shutdown.stage === "accepting") {
      await this.forwarder.handle(call, sink);
      return;
    }
    const isServed = await shutdown.serveLateCall(
      () => this.forwarder.computeDeadlineMs(call),
      () => this.forwarder.handle(call, sink),
    );
    if (!isServed) this.#refuseLeaving(call, sink);
  }

  /** Applies a report of another instance. */
  receiveReport(report: FleetReport, from: string): void {
    this.#reporter.receive(report, from);
  }

  /**
   * Shuts down gracefully: reports this to the other instances at once, completes the calls
   * in flight, and resolves when none is left or the grace period is nearly over.
   *
   * @param options Grace period, and functions of the sockets that callers use.
   */
  async shutDown(options: ShutdownOptions): Promise<void> {
    const { clock, logger } = this.#parts;
    this.#shutdown = new GracefulShutdown({
      ...options,
      clock,
      logger,
      fleet: this.fleet,
      sendReports: () => this.#reporter.reportToAllRegions(),
      countActiveCalls: () => this.forwarder.inFlight,
    });
    await this.#shutdown.run();
  }

  #refuseLeaving(call: OpaqueCall, sink: CallSink): void {
    this.forwarder.refuse(call, sink, {
      reason: "leaving",
      message: "This instance is leaving",
      // Another instance may accept the call. With the start of the next process as the time
      // to retry, all callers would return at once to an instance that has just started: on
      // three simulated days of restarts, one run each, 59 to 66% of the calls were answered
      // in time instead of 70 to 76%.
      retryAfterMs: 0,
    });
  }

  /** Refuses a call that this instance cannot carry, as not run, with a time to retry. */
  refuseOverloaded(call: OpaqueCall, sink: CallSink, message: string): void {
    const { headerCodec, logger, metrics } = this.#parts;
    metrics.count("call.overloaded");
    logger.info("refused", {
      call: headerCodec.readCall(call.headers).callId,
      reason: "overloaded",
      detail: message,
      unreadMs: Math.round(call.unreadMs),
      waitMs: Math.round(this.#eventLoopGate.waitMs),
    });
    this.forwarder.refuse(call, sink, {
      reason: "overloaded",
      message,
      retryAfterMs: NO_CAPACITY_RETRY_MS,
    });
  }

  /** Logs a stall of this process, in which it seemed silent to others and others to it. */
  #recordStall({ fromMs, tookMs }: ProcessStall): void {
    const { logger, metrics } = this.#parts;
    metrics.count("loop.stalls");
    logger.warn("process stalled", {
      from: new Date(fromMs).toISOString(),
      tookMs: Math.round(tookMs),
      inFlight: this.forwarder.inFlight,
    });
  }

  #applyServers(): void {
    this.fleet.setRegisteredCount(this.state.instanceAddresses.length);
    this.forwarder.updateInstanceCounts();
    this.forwarder.forgetUnregisteredServers();
    this.rollouts?.applyServers();
    this.#readPrefixCaches();
    this.forwarder.wakeWaitingCalls();
    // The other instances of the region get changes of the store from its relays.
    if (this.#isRelay()) this.#reporter.reportToLocalRegion();
    this.#parts.applyAddresses(
      new Set(this.registry.servers.map(({ entry }) => entry.address)),
    );
  }

  /**
   * Reads, once after the start, which prompt parts the engines of the own region have
   * cached. These caches outlive the instances, and a prompt that is prefilled again delays
   * all other calls of its engine. Engines that start later begin with an empty cache.
   */
  #readPrefixCaches(): void {
    if (this.#hasReadPrefixCaches || !this.state.isLoaded) return;
    const engines = this.forwarder.listEngines(this.fleet.self.region);
    this.#hasReadPrefixCaches = engines.length > 0;
    engines.forEach((engine) => void this.#readPrefixCache(engine));
  }

  async #readPrefixCache(
    { address, id, startedMs }: RegisteredServer,
  ): Promise<void> {
    const { logger, readCachedParts } = this.#parts;
    if (readCachedParts === undefined || this.#signal === undefined) return;
    const cached = await readCachedParts(address, this.#signal);
    if (cached.isErr()) {
      logger.warn("prefix cache of the engine could not be read", {
        server: id,
        reason: cached.error,
      });
      return;
    }
    const { parts, startedMs: reportedStartMs } = cached.value;
    const isSame = startedMs === undefined || reportedStartMs === undefined ||
      reportedStartMs === startedMs;
    if (!isSame) {
      logger.warn("prefix cache of another start of the engine", {
        server: id,
        reportedStartMs,
      });
      return;
    }
    logger.info("prefix cache of the engine read", {
      server: id,
      parts: parts.length,
    });
    const prefixes = toCachedPrefixes(id, parts);
    this.forwarder.recordPrefixes(prefixes);
    this.#reporter.addPrefixes(prefixes);
  }

  /** Returns whether a member reports that it reaches no server of any service in its region. */
  #isCutOff({ region, unreachableServices = [] }: MemberRecord): boolean {
    const services = this.registry.listUsableServices(region);
    return unreachableServices.length > 0 &&
      services.every((service) => unreachableServices.includes(service));
  }

  /** Probes servers that may not be reached, and tells others whose servers all fail here. */
  #updateReachability(): void {
    this.forwarder.probeLinks();
    const lost = this.forwarder.listLostServices();
    const before = this.fleet.self.unreachableServices ?? [];
    if (lost.join() === before.join()) return;
    this.fleet.setUnreachableServices(lost);
    this.#parts.logger.warn("reach of servers changed", {
      lostServices: lost.join(" "),
    });
  }

  /** Measures whether this instance is behind, and reports a smaller capacity while it is. */
  #updateCapacity(nowMs: number): void {
    const before = this.#capacity.capacity;
    this.#capacity.record({
      nowMs,
      loopDelayMs: this.loopDelay.readMs(),
      linkBytes: this.#parts.readLinkBytes?.() ?? 0,
    });
    const { capacity } = this.#capacity;
    if (capacity === undefined) return;
    const { currentCores, ratedCores } = capacity;
    this.#parts.metrics.gauge("capacity.cores", currentCores);
    if (currentCores === before?.currentCores) return;
    this.fleet.setCapacity(capacity);
    this.#parts.logger.info("capacity changed", {
      cores: currentCores,
      ratedCores,
    });
  }

  #isRelay(): boolean {
    return this.fleet.isRelay(this.state.known, this.#parts.clock.nowMs());
  }

  /**
   * Returns the place of this instance in the order in which instances try a quarantined call.
   * One that has just started does not know the others and tries none.
   */
  #rankSelf(call: CallFingerprint): number {
    const { self } = this.fleet;
    const nowMs = this.#parts.clock.nowMs();
    if (!this.fleet.isSettled(nowMs)) return Infinity;
    const others = this.fleet.listLive(nowMs);
    return rankNames(call, [self, ...others].map(({ id }) => id))
      .indexOf(self.id);
  }

  #sweep(): void {
    const { clock, metrics } = this.#parts;
    const nowMs = clock.nowMs();
    this.fleet.sweep(nowMs);
    // An instance that the sweep drops has to count as silent at once.
    this.forwarder.updateInstanceCounts();
    this.state.sweep();
    this.rollouts?.sweep();
    this.#updateReachability();
    this.#updateCapacity(nowMs);
    const { configurationVersion, store } = this.state.known;
    metrics.gauge("call.in_flight", this.forwarder.inFlight);
    metrics.gauge("call.waiting", this.forwarder.waiting);
    const { carriedWork } = this.#parts;
    metrics.gauge("call.head_bytes", carriedWork?.headBytes ?? 0);
    metrics.gauge("call.body_bytes", carriedWork?.bodyBytes ?? 0);
    metrics.gauge("state.configuration_version", configurationVersion);
    metrics.gauge("state.store_revision", store.revision);
    metrics.gauge("state.store_era", store.era);
    metrics.gauge("state.store_reachable", this.state.isReachable ? 1 : 0);
    metrics.gauge("fleet.live", this.fleet.countLive(nowMs));
    metrics.gauge("fleet.summarized", this.#reporter.summarizedCount);
    metrics.gauge("loop.delay_ms", this.loopDelay.readMs());
    const { quarantine } = this.forwarder;
    metrics.gauge("quarantine.held", quarantine.quarantinedCount);
    metrics.gauge("quarantine.parts", quarantine.quarantinedPartCount);
    metrics.gauge("quarantine.suspects", quarantine.suspectCount);
    metrics.gauge("servers.limited", this.forwarder.serverLimits.count);
    metrics.gauge(
      "servers.unreachable",
      this.forwarder.unreachableServerCount,
    );
  }
}
