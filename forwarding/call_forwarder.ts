import {
  FleetLimits,
  type LimitBounds,
  type ReportedUse,
} from "../admission/mod.ts";
import { type Clock, type Random, scheduleAfterReading } from "../clock/mod.ts";
import type { FleetView, LoadBoard, ReportedPrefix } from "../fleet/mod.ts";
import {
  findHostHomes,
  type HostHomes,
  type HttpRoute,
  pickService,
  type RouteTable,
  RouteUse,
} from "../http_routes/mod.ts";
import type { BackendId, RegionId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import {
  CallContent,
  type CallQuarantine,
  type ReportedEnds,
} from "../quarantine/mod.ts";
import type { RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { CallGrammar } from "./call_grammar.ts";
import { CallGate } from "./call_gate.ts";
import { CallReplies } from "./call_replies.ts";
import { CallSender } from "./call_sender.ts";
import { type NoPlace, PlaceChooser } from "./choose_place.ts";
import { ServerChooser } from "./choose_server.ts";
import type { Exchange } from "./exchange.ts";
import { InstanceSender } from "./instance_sender.ts";
import { LearnedServers } from "./learned_servers.ts";
import type { CallHead, CallSink, OpaqueCall } from "./opaque_call.ts";
import { describeServers, isHopeless, toNoRoomRefusal } from "./no_room.ts";
import { placeParts } from "./prefix_memory.ts";
import { QuarantineGuard } from "./quarantine_guard.ts";
import type { Refusal } from "./refusal.ts";
import { type RepeatBounds, RepeatBudgets } from "./repeat_budget.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerLimits } from "./server_limits.ts";
import { ServerSender } from "./server_sender.ts";
import { NO_ROOM_RETRY_MS } from "./settle_attempt.ts";
import { WaitingLine } from "./waiting_line.ts";
import { describeTeamChanges } from "../teams/mod.ts";
import type { WarmUpBounds } from "./warm_up_gate.ts";

/**
 * Part of the objective that a call waits for room before it is refused: early
 * enough for the caller to be served elsewhere in time.
 */
const WAIT_PART_OF_TARGET = 0.25;
/**
 * How long a call waits for the first configuration after a start, in
 * milliseconds: reading it takes less than a tenth of a second, and a refusal
 * later than a quarter of the shortest objectives would come late.
 */
const CONFIGURATION_PATIENCE_MS = 100;
/** When to come back to an instance that knows no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Calls that are woken when room appears. */
const WOKEN_AT_ONCE = 2;
/** Time that a call has where neither caller nor route bounds it, in milliseconds. */
const NO_BOUND_MS = 600_000;

/** What a forwarder is created from. */
export interface CallForwarderParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly grammar: CallGrammar;
  /** Sends to backend servers. */
  readonly client: ServerClient;
  /** Sends to other instances. */
  readonly peerClient: ServerClient;
  readonly registry: ServerRegistry;
  readonly fleet: FleetView;
  readonly loads: LoadBoard;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly repeatBounds: RepeatBounds;
  readonly warmUpBounds: WarmUpBounds;
  /** What may run beyond the limits of teams. */
  readonly limitBounds: LimitBounds;
  /** Keeps a refused call where instances that start later find it. Default: it is kept nowhere. */
  readonly keepRefusedCall?: ((ends: ReportedEnds) => void) | undefined;
}

/** Takes calls, finds a server for each, and passes answers on. */
export class CallForwarder {
  readonly #parts: CallForwarderParts;
  readonly #replies: CallReplies;
  readonly #learned: LearnedServers;
  readonly #guard: QuarantineGuard;
  readonly #places: PlaceChooser;
  readonly #line: WaitingLine;
  readonly #repeats: RepeatBudgets;
  readonly #use = new RouteUse();
  readonly #sender: CallSender;
  readonly #limits: FleetLimits;
  readonly #gate: CallGate;
  #table: RouteTable | undefined;
  #inFlight = 0;

  /** @param parts Ports and state. */
  constructor(parts: CallForwarderParts) {
    const { fleet, loads, random, registry } = parts;
    this.#parts = parts;
    this.#repeats = new RepeatBudgets(parts.repeatBounds);
    this.#guard = new QuarantineGuard(parts);
    this.#line = new WaitingLine(parts.clock);
    this.#limits = new FleetLimits({
      ownRegion: fleet.self.region,
      startedMs: parts.clock.nowMs(),
      random,
      bounds: parts.limitBounds,
      readOthers: (team) => fleet.uses.readOthers(team),
    });
    this.#gate = new CallGate({ ...parts, limits: this.#limits });
    this.#replies = new CallReplies({
      ...parts,
      readVersion: () => this.#table?.configuration.version,
    });
    this.#learned = new LearnedServers({
      fleet,
      warmUpBounds: parts.warmUpBounds,
      readMemoryTokens: (server) => this.#readMemoryTokens(server),
    });
    const servers = new ServerChooser({
      ownRegion: fleet.self.region,
      registry,
      loads,
      learned: this.#learned,
      random,
      countOthers: () => fleet.countSharing(fleet.self.region) - 1,
    });
    this.#places = new PlaceChooser({
      fleet,
      servers,
      random,
      listRegions: () => fleet.listRegions(),
    });
    this.#sender = new CallSender({
      ...parts,
      replies: this.#replies,
      places: this.#places,
      repeats: this.#repeats,
      quarantine: this.quarantine,
      toServers: new ServerSender({
        ...parts,
        quarantine: this.quarantine,
        learned: this.#learned,
        createMarks: (exchange) => this.#replies.markAnswered(exchange),
      }),
      toInstances: new InstanceSender({
        ...parts,
        client: parts.peerClient,
        places: this.#places,
      }),
      onServerFree: () => this.wake(),
    });
  }

  /** Calls under which servers ended. */
  get quarantine(): CallQuarantine {
    return this.#guard.quarantine;
  }

  /** Keeps all refused calls once more: where they were kept has lost some. */
  keepRefusedCalls(): void {
    this.#guard.keepAgain(this.#parts.clock.nowMs());
  }

  /** Limits that servers name. */
  get limits(): ServerLimits {
    return this.#learned.limits;
  }

  /** Calls that are being served. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Calls that wait for room. */
  get waiting(): number {
    return this.#line.length;
  }

  /** Puts a configuration in force. */
  setTable(table: RouteTable): void {
    this.#tellTeams(table);
    this.#table = table;
    const { routes, teams } = table.configuration;
    this.#use.keepOnly(routes);
    this.#limits.keepOnly(new Set(teams?.teams.map(({ id }) => id)));
    this.#line.wakeFirst(this.#line.length);
  }

  /** Returns how long the servers of a service are cold after a start, in milliseconds. */
  readWarmUpMs(service: string): number {
    return this.#table?.findService(service)?.warmUpMs ?? 0;
  }

  /** Returns where callers of a host may be led. */
  findHomes(host: string): HostHomes {
    const nowMs = this.#parts.clock.nowMs();
    return findHostHomes(
      this.#table?.listRoutes(host) ?? [],
      (route) => this.#use.read(route, nowMs),
    );
  }

  /** Takes other bounds on repeated sends; what was sent so far is forgotten. */
  setRepeatBounds(bounds: RepeatBounds): void {
    this.#repeats.setBounds(bounds);
  }

  /** Returns what teams use at this instance, for the next report. */
  listUses(nowMs: number): readonly ReportedUse[] {
    return this.#limits.listOwn(nowMs);
  }

  /** Notes with whom the limits of teams are shared now. */
  countFleet(): void {
    const { clock, fleet } = this.#parts;
    const nowMs = clock.nowMs();
    this.#limits.setCounts(
      fleet.countRegions(nowMs),
      fleet.namedCount,
      nowMs,
    );
  }

  /** Lets waiting calls look for room again. */
  wake(): void {
    this.#line.wakeFirst(WOKEN_AT_ONCE);
  }

  /** Returns the model engines of a region that may get calls. */
  listEngines(region: RegionId): readonly RegisteredServer[] {
    return this.#parts.registry.servers.map(({ entry }) => entry)
      .filter(({ id, service }) =>
        this.#parts.registry.isUsable(id) &&
        this.#table?.findService(service)?.engine !== undefined
      ).filter((entry) => entry.region === region);
  }

  /** Returns the prompt parts sent since the last call, for the next report. */
  takePrefixes(): readonly ReportedPrefix[] {
    return this.#learned.takeUnreported();
  }

  /** Takes prompt parts that other instances have sent to servers. */
  learnPrefixes(prefixes: readonly ReportedPrefix[]): void {
    this.#learned.learnPrefixes(prefixes);
  }

  /** Forgets what was learned of servers that are gone. */
  forgetGone(): void {
    const known = this.#parts.registry.servers.map(({ entry }) => entry.id);
    this.#learned.keepOnly(new Set<BackendId>(known));
  }

  /**
   * Serves one call.
   *
   * @param call As read.
   * @param sink Where its answer goes.
   */
  async handle(call: OpaqueCall, sink: CallSink): Promise<void> {
    this.#inFlight++;
    try {
      await this.#serve(call, sink);
    } finally {
      this.#inFlight--;
    }
  }

  /** Returns why a call is refused whatever its body says, or `undefined`. */
  refuseUnread(call: CallHead): Refusal | undefined {
    if (this.#table === undefined) return undefined;
    const { configuration } = this.#table;
    const facts = this.#parts.grammar.readCall(call.headers);
    const route = this.#table.findRoute(facts.host, call.target);
    return this.#gate.refuseUnread({ call, facts, route, configuration });
  }

  /** Returns when the time of a call is over, on the own clock. */
  findDueMs(call: OpaqueCall): number {
    const facts = this.#parts.grammar.readCall(call.headers);
    const route = this.#table?.findRoute(facts.host, call.target);
    return call.receivedMs + readRemainingMs({ call, facts, route });
  }

  /**
   * Answers a call with a refusal, in the form that its sender understands.
   *
   * @param call The call.
   * @param sink Where the answer goes.
   * @param refusal Why it is refused.
   */
  refuse(call: OpaqueCall, sink: CallSink, refusal: Refusal): void {
    this.#replies.refuse(call, sink, refusal);
  }

  async #serve(call: OpaqueCall, sink: CallSink): Promise<void> {
    const facts = this.#parts.grammar.readCall(call.headers);
    await this.#awaitTable(call, sink);
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
    const entered = this.#gate.enter({ call, facts, route, configuration });
    if (entered.isErr()) {
      this.refuse(call, sink, entered.error);
      return;
    }
    if (route === undefined) {
      this.#refuseUnrouted(call, sink, facts.host);
      return;
    }
    const { access, settle } = entered.value;
    const served = { call, sink, facts, access, route };
    settle(await this.#serveRouted(served, this.#table));
  }

  /** @returns Whether the call may have run. */
  async #serveRouted(
    served: Omit<RoutedCall, "service" | "leastGapMs">,
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
    if (call.origin.kind === "caller") {
      this.#repeats.recordCall(service.name, call.receivedMs);
      this.#use.record(route, call.receivedMs);
    }
    const leastGapMs = table.findLeastGapMs(service.name);
    return await this.#forwardInTime({ ...served, service, leastGapMs });
  }

  /** Waits a little for the first configuration: this instance has just started. */
  async #awaitTable(call: OpaqueCall, sink: CallSink): Promise<void> {
    const { clock } = this.#parts;
    const untilMs = call.receivedMs + CONFIGURATION_PATIENCE_MS;
    const place = { rank: 0, order: this.#line.takeOrder() };
    while (this.#table === undefined && !sink.signal.aborted) {
      const patienceMs = untilMs - clock.nowMs();
      if (patienceMs <= 0) return;
      await this.#line.wait(place, patienceMs, sink.signal);
    }
  }

  #refuseUnrouted(call: OpaqueCall, sink: CallSink, host: string): void {
    // Another instance may be ahead of this one: its call has a route.
    const isForwarded = call.origin.kind === "instance";
    this.refuse(call, sink, {
      reason: isForwarded ? "no-room" : "no-route",
      message: `No route has host "${host}" and begins path "${call.target}"`,
    });
  }

  /**
   * Forwards a call and gives it up when its time is over or its caller leaves.
   *
   * @returns Whether it may have run.
   */
  async #forwardInTime(routed: RoutedCall): Promise<boolean> {
    const { clock } = this.#parts;
    const { call, sink } = routed;
    const given = new AbortController();
    const timer = new AbortController();
    const giveUp = () => given.abort("given up");
    sink.signal.addEventListener("abort", giveUp, { once: true });
    const dueMs = call.receivedMs + readRemainingMs(routed);
    const leftMs = dueMs - clock.nowMs();
    // A timer of no time would fire after the call was sent. An answer that has
    // arrived in time goes to the caller, though this instance reads it late.
    if (leftMs > 0) scheduleAfterReading(clock, leftMs, giveUp, timer.signal);
    else giveUp();
    const exchange = this.#createExchange(routed, dueMs, given.signal);
    const endServing = this.#guard.begin(exchange.content, giveUp);
    await this.#forward(exchange);
    endServing();
    timer.abort("done");
    sink.signal.removeEventListener("abort", giveUp);
    return exchange.mayHaveRun || exchange.progress.hasBegun;
  }

  #createExchange(
    routed: RoutedCall,
    dueMs: number,
    signal: AbortSignal,
  ): Exchange {
    const { call, facts, route } = routed;
    const { origin } = call;
    const hop = origin.kind === "instance" ? origin.hop : undefined;
    return {
      ...routed,
      content: new CallContent({ ...call, host: facts.host }),
      parts: placeParts(facts.prompt?.parts ?? []),
      dueMs,
      signal,
      progress: {
        hasBegun: false,
        lastEventId: hop?.resumeAfter ?? facts.lastEventId,
      },
      tried: new Set(hop?.tried),
      waitOrder: this.#line.takeOrder(),
      // Only the instance that the caller reached repeats calls.
      attemptsLeft: hop === undefined ? route.maxAttempts : 1,
      sentTo: [],
      isOnOffer: false,
      mayHaveRun: false,
      heldAnswer: undefined,
      avoidedRegions: new Set(),
      avoidedInstances: new Set(),
    };
  }

  async #forward(exchange: Exchange): Promise<void> {
    while (!exchange.signal.aborted) {
      const nowMs = this.#parts.clock.nowMs();
      if (this.#refuseQuarantined(exchange, nowMs)) return;
      const place = this.#places.choose(exchange, nowMs);
      if (place.kind === "here" || place.kind === "away") {
        if (await this.#sender.send(exchange, place)) return;
        continue;
      }
      const { access: { rank }, route: { targetMs } } = exchange;
      const patienceMs = exchange.call.receivedMs +
        WAIT_PART_OF_TARGET * targetMs - nowMs;
      if (isHopeless(place, nowMs, patienceMs)) {
        this.#refuseForRoom(exchange, place, nowMs);
        return;
      }
      await this.#line.wait(
        { rank, order: exchange.waitOrder },
        patienceMs,
        exchange.signal,
      );
    }
    if (this.#refuseQuarantined(exchange, this.#parts.clock.nowMs())) return;
    this.#replies.finishWithout(exchange, {
      reason: exchange.mayHaveRun ? "timed-out" : "no-time",
      message: "The time of the call is over",
      retryAfterMs: exchange.mayHaveRun ? undefined : NO_ROOM_RETRY_MS,
    });
  }

  #refuseForRoom(exchange: Exchange, place: NoPlace, nowMs: number): void {
    const service = exchange.service.name;
    const known = { ...this.#parts, learned: this.#learned };
    this.#replies.finishWithout(
      exchange,
      toNoRoomRefusal(service, place, nowMs),
      { servers: describeServers(service, nowMs, known) },
    );
  }

  #refuseQuarantined(exchange: Exchange, nowMs: number): boolean {
    const refusal = this.#guard.findRefusal(exchange.content, nowMs);
    if (refusal === undefined) return false;
    const content = exchange.content.fingerprint;
    this.#replies.finishWithout(exchange, refusal, { content });
    return true;
  }

  /** Says which keys and limits a configuration changes. */
  #tellTeams({ configuration: { teams, version } }: RouteTable): void {
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

/** A call whose route and service are known. */
type RoutedCall = Pick<
  Exchange,
  "access" | "call" | "sink" | "facts" | "route" | "service" | "leastGapMs"
>;

/** Returns the time that a call has: the least of its caller's and its route's. */
function readRemainingMs(
  { call: { origin }, facts, route }:
    & Pick<RoutedCall, "call" | "facts">
    & { readonly route: HttpRoute | undefined },
): number {
  if (origin.kind === "instance") return origin.hop.remainingMs;
  const routeMs = route?.timeoutMs ?? NO_BOUND_MS;
  return Math.min(facts.remainingMs ?? NO_BOUND_MS, routeMs);
}
