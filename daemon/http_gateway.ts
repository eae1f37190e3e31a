import {
  type Clock,
  LoopDelay,
  type Random,
  scheduleEvery,
} from "../clock/mod.ts";
import {
  AnswerRecorder,
  type EntryAnswer,
  pickEntries,
} from "../directory/mod.ts";
import {
  type FleetReport,
  FleetView,
  LoadBoard,
  type MemberRecord,
  type SendReport,
} from "../fleet/mod.ts";
import {
  CallForwarder,
  type CallGrammar,
  type CallSink,
  type HeldParts,
  NO_ROOM_RETRY_MS,
  type OpaqueCall,
  type RepeatBounds,
  type ServerClient,
  toHeldPrefixes,
  TurnGate,
  type WarmUpBounds,
} from "../forwarding/mod.ts";
import type { CallerLimits, RouteTable } from "../http_routes/mod.ts";
import type { LimitBounds } from "../admission/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ReportedEnds } from "../quarantine/mod.ts";
import { type RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { StateSource } from "../state/mod.ts";
import type { Result } from "neverthrow";
import { FleetReporter } from "./fleet_reporter.ts";
import { LimitNews } from "./limit_news.ts";
import { Departure, type LeaveOptions } from "./departure.ts";
import { PeerCatchUp, type ReadPeerState } from "./peer_catch_up.ts";

/** Pause between sweeps of what is gone, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;

const DEFAULT_LIMIT_BOUNDS: LimitBounds = {
  windowMs: 8_000,
  overshoot: 0,
  slack: 0,
};

/** What a source of routes and servers changes. */
export interface StateSinks {
  readonly registry: ServerRegistry;
  /** Takes each configuration that comes into force. */
  readonly applyTable: (table: RouteTable) => void;
  /** Called after each change of the registry. */
  readonly onServers: () => void;
  /** Takes a refused call that is kept in the store. */
  readonly onRefusedCall: (ends: ReportedEnds) => void;
  /** Called when the store has come back from an older copy. */
  readonly onRestored: () => void;
  /** Whether this instance follows the store for its region. */
  readonly isRelay: () => boolean;
}

/** Ports and settings of a gateway. */
export interface HttpGatewayParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly grammar: CallGrammar;
  /** Sends to backend servers. */
  readonly client: ServerClient;
  /** Sends to other instances. */
  readonly peerClient: ServerClient;
  readonly self: Omit<MemberRecord, "state">;
  /** Addresses of a few instances; they may be gone. */
  readonly seedAddresses: readonly string[];
  /** Creates the source of routes and servers. */
  readonly createState: (sinks: StateSinks) => StateSource;
  readonly repeatBounds: RepeatBounds;
  /** What cold servers bear. */
  readonly warmUpBounds: WarmUpBounds;
  /** What may run beyond the limits of teams. Default: nothing, in 8 s. */
  readonly limitBounds?: LimitBounds;
  /** Keeps a refused call where instances that start later find it. Default: it is kept nowhere. */
  readonly keepRefusedCall?: (ends: ReportedEnds) => void;
  readonly sendReport: SendReport;
  /**
   * Reads what the instance at an address knows beyond a position. Default: none,
   * the source spreads its changes itself.
   */
  readonly readPeerState?: ReadPeerState;
  /** Reads which prompt parts the engine at an address holds. Default: it is learned from what is sent. */
  readonly readHeldParts?: (
    address: string,
    signal: AbortSignal,
  ) => Promise<Result<HeldParts, string>>;
  /** Takes the bounds on callers of each configuration. */
  readonly applyLimits: (limits: CallerLimits) => void;
  /** Takes the addresses of the servers, after each change. */
  readonly applyAddresses: (addresses: ReadonlySet<string>) => void;
}

/** Settings of a gateway that can change while it runs. */
export type LiveSettings = Pick<
  HttpGatewayParts,
  "seedAddresses" | "repeatBounds"
>;

/** One instance that forwards plain HTTP calls, without its sockets. */
export class HttpGateway {
  /** How far this process is behind; counted from `start` on. */
  readonly loopDelay: LoopDelay;
  readonly fleet: FleetView;
  readonly forwarder: CallForwarder;
  readonly state: StateSource;
  readonly registry: ServerRegistry;
  readonly #parts: HttpGatewayParts;
  readonly #catchUp: PeerCatchUp | undefined;
  readonly #turns: TurnGate;
  readonly #reporter: FleetReporter;
  readonly #answers: AnswerRecorder;
  #departure: Departure | undefined;
  #hasAskedEngines = false;
  #ended: AbortSignal | undefined;

  /** @param parts Ports and settings. */
  constructor(parts: HttpGatewayParts) {
    const { clock, logger, random } = parts;
    this.#parts = parts;
    this.loopDelay = new LoopDelay(clock);
    this.#turns = new TurnGate(clock);
    this.#answers = new AnswerRecorder(parts);
    const loads = new LoadBoard();
    this.fleet = new FleetView({
      self: parts.self,
      loads,
      startMs: clock.nowMs(),
    });
    this.registry = new ServerRegistry({
      readWarmUpMs: (service) => this.forwarder.readWarmUpMs(service),
    });
    this.forwarder = new CallForwarder({
      clock,
      random,
      grammar: parts.grammar,
      client: parts.client,
      peerClient: parts.peerClient,
      registry: this.registry,
      fleet: this.fleet,
      loads,
      logger,
      metrics: parts.metrics,
      repeatBounds: parts.repeatBounds,
      warmUpBounds: parts.warmUpBounds,
      limitBounds: parts.limitBounds ?? DEFAULT_LIMIT_BOUNDS,
      keepRefusedCall: parts.keepRefusedCall,
    });
    this.state = parts.createState({
      registry: this.registry,
      applyTable: (table) => {
        parts.applyLimits(table.configuration.limits);
        this.forwarder.setTable(table);
        if (this.#departure === undefined) this.fleet.setState("ready");
      },
      onServers: () => this.#applyServers(),
      onRefusedCall: (ends) =>
        void this.forwarder.quarantine.learn([ends], clock.nowMs()),
      onRestored: () => {
        // All know the same calls: those that follow the store write them.
        if (this.#isRelay()) this.forwarder.keepRefusedCalls();
      },
      isRelay: () => this.#isRelay(),
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
      takePrefixes: () => this.forwarder.takePrefixes(),
      learnPrefixes: (prefixes) => this.forwarder.learnPrefixes(prefixes),
      listUses: (nowMs) => this.forwarder.listUses(nowMs),
      quarantine: this.forwarder.quarantine,
      limits: new LimitNews({
        ownRegion: parts.self.region,
        limits: this.forwarder.limits,
        logger,
      }),
      onRound: () => {
        this.forwarder.countFleet();
        this.forwarder.wake();
        this.#catchUp?.check();
      },
      onNewState: () => this.#catchUp?.check(),
    });
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.state.isLoaded && this.#departure === undefined;
  }

  /**
   * Returns the instances that a caller may connect to.
   *
   * @param region Of the caller.
   * @param host Which it wants to call.
   */
  pickEntries(region: RegionId, host: string): EntryAnswer {
    const findHomes = () => this.forwarder.findHomes(host);
    const nowMs = this.#parts.clock.nowMs();
    const answer = pickEntries(this.fleet, { region, findHomes }, nowMs);
    this.#answers.record({
      ...answer,
      region,
      host,
      configurationVersion: this.state.known.configurationVersion,
      describeMembers: () => this.fleet.describe(nowMs),
    });
    return answer;
  }

  /** Starts following the store and talking to other instances. */
  start(signal: AbortSignal): void {
    const { clock } = this.#parts;
    this.#ended = signal;
    this.loopDelay.start(signal);
    void this.state.run(signal);
    this.#reporter.start(signal);
    // After a pause of the process the reports that wait are read first: one turn.
    const sweepAfterReading = () =>
      clock.schedule(0, () => this.#sweep(), signal);
    scheduleEvery(clock, SWEEP_INTERVAL_MS, sweepAfterReading, signal);
  }

  /** Takes settings that can change while it runs. */
  applySettings(settings: LiveSettings): void {
    this.#reporter.setSeedAddresses(settings.seedAddresses);
    this.forwarder.setRepeatBounds(settings.repeatBounds);
  }

  /** Serves one call. */
  async handle(call: OpaqueCall, sink: CallSink): Promise<void> {
    if (!await this.#turns.enter()) {
      this.#refuseOverloaded(call, sink);
      return;
    }
    if (sink.signal.aborted) return;
    const departure = this.#departure;
    if (departure === undefined || departure.stage === "taking") {
      await this.forwarder.handle(call, sink);
      return;
    }
    const isServed = await departure.serveLate(
      () => this.forwarder.findDueMs(call),
      () => this.forwarder.handle(call, sink),
    );
    if (!isServed) this.#refuseLeaving(call, sink);
  }

  /** Takes a report of another instance. */
  receiveReport(report: FleetReport, from: string): void {
    this.#reporter.receive(report, from);
  }

  /**
   * Leaves: tells the others at once, goes on with what is in flight, and
   * resolves when it is done or the grace is nearly over.
   *
   * @param options The grace, and the sockets that callers use.
   */
  async leave(options: LeaveOptions): Promise<void> {
    const { clock, logger } = this.#parts;
    this.#departure = new Departure({
      ...options,
      clock,
      logger,
      fleet: this.fleet,
      tellOthers: () => this.#reporter.tellAll(),
      countServed: () => this.forwarder.inFlight,
    });
    await this.#departure.run();
  }

  #refuseLeaving(call: OpaqueCall, sink: CallSink): void {
    this.forwarder.refuse(call, sink, {
      reason: "leaving",
      message: "This instance is leaving",
      // Another may take it. Told when the next process is there, all would come back
      // at once to one that has just started: on three played days of restarts, one
      // play each, 59 to 66% of the calls were answered in time in place of 70 to 76%.
      retryAfterMs: 0,
    });
  }

  #refuseOverloaded(call: OpaqueCall, sink: CallSink): void {
    const { grammar, logger, metrics } = this.#parts;
    metrics.count("call.overloaded");
    logger.info("refused", {
      call: grammar.readCall(call.headers).callId,
      reason: "overloaded",
      unreadMs: Math.round(call.unreadMs),
      waitMs: Math.round(this.#turns.waitMs),
    });
    this.forwarder.refuse(call, sink, {
      reason: "overloaded",
      message: "More calls come than this instance can forward",
      retryAfterMs: NO_ROOM_RETRY_MS,
    });
  }

  #applyServers(): void {
    this.fleet.setNamedCount(this.state.instanceAddresses.length);
    this.forwarder.countFleet();
    this.forwarder.forgetGone();
    this.#askEngines();
    this.forwarder.wake();
    // The others of the region wait for what their relays hear of.
    if (this.#isRelay()) this.#reporter.tellNear();
    this.#parts.applyAddresses(
      new Set(this.registry.servers.map(({ entry }) => entry.address)),
    );
  }

  /**
   * Asks the engines of the own region, once after a start, what their memory
   * holds: it outlives the instances, and prompts that are read again hold up
   * all others. Engines that come later start empty.
   */
  #askEngines(): void {
    if (this.#hasAskedEngines || !this.state.isLoaded) return;
    const engines = this.forwarder.listEngines(this.fleet.self.region);
    this.#hasAskedEngines = engines.length > 0;
    engines.forEach((engine) => void this.#askEngine(engine));
  }

  async #askEngine(
    { address, id, startedMs }: RegisteredServer,
  ): Promise<void> {
    const { logger, readHeldParts } = this.#parts;
    if (readHeldParts === undefined || this.#ended === undefined) return;
    const held = await readHeldParts(address, this.#ended);
    if (held.isErr()) {
      logger.warn("engine memory not read", { server: id, reason: held.error });
      return;
    }
    const { parts, startedMs: saidBy } = held.value;
    const isSame = startedMs === undefined || saidBy === undefined ||
      saidBy === startedMs;
    if (!isSame) {
      logger.warn("engine memory of another start", { server: id, saidBy });
      return;
    }
    logger.info("engine memory read", { server: id, parts: parts.length });
    const prefixes = toHeldPrefixes(id, parts);
    this.forwarder.learnPrefixes(prefixes);
    this.#reporter.addPrefixes(prefixes);
  }

  #isRelay(): boolean {
    return this.fleet.isRelay(this.state.known, this.#parts.clock.nowMs());
  }

  #sweep(): void {
    const { clock, metrics } = this.#parts;
    const nowMs = clock.nowMs();
    this.fleet.sweep(nowMs);
    // Who is dropped must count as unheard from the same moment on.
    this.forwarder.countFleet();
    this.state.sweep();
    const { configurationVersion, store } = this.state.known;
    metrics.gauge("call.in_flight", this.forwarder.inFlight);
    metrics.gauge("call.waiting", this.forwarder.waiting);
    metrics.gauge("state.configuration_version", configurationVersion);
    metrics.gauge("state.store_revision", store.revision);
    metrics.gauge("state.store_era", store.era);
    metrics.gauge("state.store_reachable", this.state.isReachable ? 1 : 0);
    metrics.gauge("fleet.live", this.fleet.countAll(nowMs));
    metrics.gauge("fleet.summarized", this.#reporter.summarizedCount);
    metrics.gauge("loop.delay_ms", this.loopDelay.readMs());
    const { quarantine } = this.forwarder;
    metrics.gauge("quarantine.held", quarantine.heldCount);
    metrics.gauge("quarantine.suspects", quarantine.suspectCount);
    metrics.gauge("servers.limited", this.forwarder.limits.count);
  }
}
