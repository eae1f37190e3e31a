import {
  type Clock,
  LoopDelay,
  pickRandom,
  type Random,
  scheduleEvery,
  waitFor,
} from "../clock/mod.ts";
import { pickEntries } from "../directory/mod.ts";
import {
  type FleetReport,
  FleetView,
  LoadBoard,
  type MemberRecord,
  PrefixQueue,
  RELAYS_PER_REGION,
  type ReportedPrefix,
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
import type { RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { type RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { StateSource } from "../state/mod.ts";
import type { Result } from "neverthrow";
import { PeerCatchUp, type ReadPeerState } from "./peer_catch_up.ts";

/** Pause between reports to the own region, in milliseconds: several a second. */
const REPORT_INTERVAL_MS = 150;
/** One report of the region to the others in so many reports: bytes between regions are dear. */
const REGION_REPORT_EVERY = 2;
/**
 * One report of the region in so many goes from and to the second instance that
 * speaks for a region as well, so that either can be lost unnoticed by callers.
 */
const SECOND_REPORTER_EVERY = 4;
/**
 * Shared prompt parts that one report of the region names at the most, two
 * packets: what 20 instances send to their servers meanwhile.
 */
const MAX_REGION_PREFIXES = 48;
/** Prompt parts that wait for reports of the region at the most: what several engines hold after a start. */
const MAX_WAITING_PREFIXES = 256;
/** Pause between attempts to reach instances that are known by address only, in milliseconds. */
const CONTACT_INTERVAL_MS = 500;
/** Addresses that are greeted at a time beside the seeds: many entries may be of instances that are gone. */
const GREETED_AT_ONCE = 4;
/** Pause between sweeps of what is gone, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;
/** How long calls are still taken after leaving began, in milliseconds: callers hear of it within a few answers. */
const LEAVING_TAKES_CALLS_MS = 2_500;
/** Left of the grace when everything is closed, in milliseconds. */
const GRACE_MARGIN_MS = 300;
const DRAIN_CHECK_MS = 50;

/** What a source of routes and servers changes. */
export interface StateSinks {
  readonly registry: ServerRegistry;
  /** Takes each configuration that comes into force. */
  readonly applyTable: (table: RouteTable) => void;
  /** Called after each change of the registry. */
  readonly onServers: () => void;
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
  /** Sends a report to other instances. */
  readonly sendReport: (
    report: FleetReport,
    addresses: readonly string[],
  ) => void;
  /**
   * Reads what the instance at an address knows beyond a revision. Default: none,
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
  readonly #regionPrefixes = new PrefixQueue(MAX_WAITING_PREFIXES);
  #seedAddresses: readonly string[];
  #ticks = 0;
  #regionTicks = 0;
  #leavingSinceMs: number | undefined;
  #hasAskedEngines = false;
  #ended: AbortSignal | undefined;

  /** @param parts Ports and settings. */
  constructor(parts: HttpGatewayParts) {
    const { clock, logger, random } = parts;
    this.#parts = parts;
    this.#seedAddresses = parts.seedAddresses;
    this.loopDelay = new LoopDelay(clock);
    this.#turns = new TurnGate(clock);
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
    });
    this.state = parts.createState({
      registry: this.registry,
      applyTable: (table) => {
        parts.applyLimits(table.configuration.limits);
        this.forwarder.setTable(table);
        if (this.#leavingSinceMs === undefined) this.fleet.setState("ready");
      },
      onServers: () => this.#applyServers(),
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
  }

  /** Whether callers may be sent here. */
  get isReady(): boolean {
    return this.state.isLoaded && this.#leavingSinceMs === undefined;
  }

  /**
   * Returns the instances that a caller may connect to.
   *
   * @param region Of the caller.
   * @param host Which it wants to call.
   */
  pickEntries(region: RegionId, host: string): readonly MemberRecord[] {
    const readHomes = () => this.forwarder.readHomes(host);
    const nowMs = this.#parts.clock.nowMs();
    return pickEntries(this.fleet, { region, readHomes }, nowMs);
  }

  /** Starts following the store and talking to other instances. */
  start(signal: AbortSignal): void {
    const { clock } = this.#parts;
    this.#ended = signal;
    this.loopDelay.start(signal);
    void this.state.run(signal);
    this.#contactOthers();
    scheduleEvery(clock, REPORT_INTERVAL_MS, () => this.#report(), signal);
    scheduleEvery(
      clock,
      CONTACT_INTERVAL_MS,
      () => this.#contactOthers(),
      signal,
    );
    // After a pause of the process the reports that wait are read first: one turn.
    const sweepAfterReading = () =>
      clock.schedule(0, () => this.#sweep(), signal);
    scheduleEvery(clock, SWEEP_INTERVAL_MS, sweepAfterReading, signal);
  }

  /** Takes settings that can change while it runs. */
  applySettings(settings: LiveSettings): void {
    this.#seedAddresses = settings.seedAddresses;
    this.forwarder.setRepeatBounds(settings.repeatBounds);
  }

  /** Serves one call. */
  async handle(call: OpaqueCall, sink: CallSink): Promise<void> {
    const { clock } = this.#parts;
    if (!await this.#turns.enter()) {
      this.#refuseOverloaded(call, sink);
      return;
    }
    if (sink.signal.aborted) return;
    const leftMs = this.#leavingSinceMs;
    if (
      leftMs !== undefined && clock.nowMs() - leftMs > LEAVING_TAKES_CALLS_MS
    ) {
      this.forwarder.refuse(call, sink, {
        reason: "leaving",
        message: "This instance is leaving",
        retryAfterMs: 0,
      });
      return;
    }
    await this.forwarder.handle(call, sink);
  }

  /** Takes a report of another instance. */
  receiveReport(report: FleetReport, from: string): void {
    const { clock, sendReport } = this.#parts;
    const nowMs = clock.nowMs();
    if (this.fleet.applyReport(report, nowMs)) {
      this.forwarder.learnPrefixes(report.prefixes);
      const isNear = report.from.region === this.fleet.self.region;
      if (isNear) this.#regionPrefixes.add(report.prefixes);
      else this.#passOn(report, nowMs);
      this.#catchUp?.check();
    }
    if (report.wantsNews) {
      sendReport(this.fleet.createAnswer(this.state.known, nowMs), [from]);
    }
  }

  /**
   * Leaves: tells the others at once, goes on with what is in flight, and
   * resolves when it is done or the grace is nearly over.
   *
   * @param graceMs Time until the process is killed.
   * @param countOpen Returns the answers that are not yet with their callers.
   */
  async leave(graceMs: number, countOpen: () => number): Promise<void> {
    const { clock, logger } = this.#parts;
    const startMs = clock.nowMs();
    this.#leavingSinceMs = startMs;
    this.fleet.setState("leaving", startMs);
    this.#report();
    this.#reportRegion(RELAYS_PER_REGION);
    logger.info("leaving", { inFlight: countOpen() });
    const endMs = startMs + graceMs - GRACE_MARGIN_MS;
    const earliestMs = startMs + LEAVING_TAKES_CALLS_MS;
    while (clock.nowMs() < endMs) {
      if (countOpen() === 0 && clock.nowMs() > earliestMs) break;
      await waitFor(clock, DRAIN_CHECK_MS);
    }
    logger.info("left", {
      cutOff: countOpen(),
      afterMs: Math.round(clock.nowMs() - startMs),
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
    this.forwarder.forgetGone();
    this.#askEngines();
    this.forwarder.wake();
    // The others of the region wait for what their relays hear of.
    if (this.#isRelay()) this.#tellNear([]);
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
    this.#regionPrefixes.add(prefixes);
  }

  #isRelay(): boolean {
    return this.fleet.isRelay(this.state.known, this.#parts.clock.nowMs());
  }

  #tellNear(prefixes: readonly ReportedPrefix[]): void {
    const { clock, sendReport } = this.#parts;
    const nowMs = clock.nowMs();
    sendReport(
      this.fleet.createReport(this.state.known, prefixes, nowMs),
      this.fleet.listNear(nowMs).map(({ address }) => address),
    );
  }

  #report(): void {
    const prefixes = this.forwarder.takePrefixes();
    this.#regionPrefixes.add(prefixes);
    this.#tellNear(prefixes);
    this.#ticks++;
    if (this.#ticks % REGION_REPORT_EVERY === 0) {
      const isForBoth = this.#regionTicks++ % SECOND_REPORTER_EVERY === 0;
      this.#reportRegion(isForBoth ? RELAYS_PER_REGION : 1);
    }
    this.forwarder.wake();
    this.#catchUp?.check();
  }

  /**
   * Tells the other regions of the own one.
   *
   * @param reporters How many instances of each region speak and are spoken to.
   */
  #reportRegion(reporters: number): void {
    const { clock, sendReport } = this.#parts;
    const nowMs = clock.nowMs();
    const rank = this.fleet.readReporterRank(nowMs);
    if (rank === undefined || rank >= reporters) return;
    const far = this.fleet.listReceivers(reporters, nowMs)
      .map(({ address }) => address);
    if (far.length === 0) return;
    sendReport(
      this.fleet.createRegionReport(
        this.state.known,
        this.#regionPrefixes.take(MAX_REGION_PREFIXES),
        nowMs,
      ),
      far,
    );
  }

  /** Tells the own region what another one reports: only its first reporter hears of all. */
  #passOn(report: FleetReport, nowMs: number): void {
    const isForRegion = report.scope === "region" &&
      this.fleet.readReporterRank(nowMs) === 0;
    if (!isForRegion) return;
    const near = this.fleet.listNear(nowMs).map(({ address }) => address);
    this.#parts.sendReport(report, near);
  }

  /** Greets instances that are known by address only, and asks whom they know. */
  #contactOthers(): void {
    const { clock, random, self, sendReport } = this.#parts;
    const nowMs = clock.nowMs();
    const live = new Set(
      this.fleet.listLive(nowMs).map(({ address }) => address),
    );
    const isUnknown = (address: string) =>
      address !== self.address && !live.has(address);
    const named = this.state.instanceAddresses.filter(isUnknown);
    const picked = Array.from(
      { length: GREETED_AT_ONCE },
      () => pickRandom(named, random) ?? [],
    ).flat();
    const seeds = this.#seedAddresses.filter(isUnknown);
    const greeted = [...new Set([...seeds, ...picked])];
    if (greeted.length === 0) return;
    const report = this.fleet.createReport(this.state.known, [], nowMs);
    sendReport({ ...report, wantsNews: true }, greeted);
  }

  #sweep(): void {
    const { clock, metrics } = this.#parts;
    const nowMs = clock.nowMs();
    this.fleet.sweep(nowMs);
    this.state.sweep();
    const { configurationVersion, storeRevision } = this.state.known;
    metrics.gauge("call.in_flight", this.forwarder.inFlight);
    metrics.gauge("call.waiting", this.forwarder.waiting);
    metrics.gauge("state.configuration_version", configurationVersion);
    metrics.gauge("state.store_revision", storeRevision);
    metrics.gauge("state.store_reachable", this.state.isReachable ? 1 : 0);
    metrics.gauge("fleet.live", this.fleet.countAll(nowMs));
    metrics.gauge("loop.delay_ms", this.loopDelay.readMs());
  }
}
