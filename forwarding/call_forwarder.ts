import type { Clock, Random } from "../clock/mod.ts";
import {
  type FleetView,
  type LoadBoard,
  type ReportedPrefix,
} from "../fleet/mod.ts";
import { pickService, type RouteTable } from "../http_routes/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ServerRegistry } from "../servers/mod.ts";
import type { CallGrammar } from "./call_grammar.ts";
import { type Place, PlaceChooser } from "./choose_place.ts";
import { type Candidate, ServerChooser } from "./choose_server.ts";
import { type Exchange, isRepeatable, isResumableNow } from "./exchange.ts";
import {
  type HopAnswer,
  isHopHeader,
  readHopAnswer,
  writeHop,
  writeHopAnswer,
} from "./hop_headers.ts";
import { pickForwarded } from "./http_headers.ts";
import type { CallSink, OpaqueCall } from "./opaque_call.ts";
import { placeParts, PrefixMemory } from "./prefix_memory.ts";
import { isNotRun, type Refusal, toRefusalAnswer } from "./refusal.ts";
import { type RepeatBounds, RepeatBudget } from "./repeat_budget.ts";
import { type AttemptOutcome, runAttempt } from "./run_attempt.ts";
import type { ServerClient } from "./server_client.ts";
import { ServerHealth, type ServerOutcome } from "./server_health.ts";
import { ServerSpeeds } from "./server_speed.ts";
import { WaitingLine } from "./waiting_line.ts";
import { WarmUpGate } from "./warm_up_gate.ts";

/**
 * Part of the objective that a call waits for room before it is refused: early
 * enough for the caller to be served elsewhere in time.
 */
const WAIT_PART_OF_TARGET = 0.25;
/**
 * Silence after which a call that may be repeated is sent elsewhere: so many times
 * what its answer was estimated to take, and at least this part of its objective,
 * so that the second server can still answer in time.
 */
const SILENCE_ESTIMATES = 4;
const SILENCE_PART_OF_TARGET = 0.5;
/** How long a server is left out whose address another one has, in milliseconds: its entry lapses meanwhile. */
const REPLACED_PAUSE_MS = 4_000;
/** When to come back after a refusal for want of room, in milliseconds. */
const NO_ROOM_RETRY_MS = 150;
/** When to come back to an instance that knows no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Calls that are woken when room appears. */
const WOKEN_AT_ONCE = 2;
/** Part of an engine's memory that cached parts are taken to fill, beside running calls. */
const CACHED_MEMORY_PART = 0.8;
/** Prompt parts that wait for the next report at the most. */
const MAX_UNREPORTED_PREFIXES = 32;
/** Time that a call has where neither caller nor route bounds it, in milliseconds. */
const NO_BOUND_MS = 600_000;
/** Connections to one instance, for calls that go to another region. */
const MAX_PEER_CONNECTIONS = 256;

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
}

/** Takes calls, finds a server for each, and passes answers on. */
export class CallForwarder {
  readonly #parts: CallForwarderParts;
  readonly #places: PlaceChooser;
  readonly #speeds = new ServerSpeeds();
  readonly #health = new ServerHealth();
  readonly #prefixes = new PrefixMemory();
  readonly #warmUp = new WarmUpGate();
  readonly #line: WaitingLine;
  readonly #repeats = new Map<string, RepeatBudget>();
  #repeatBounds: RepeatBounds;
  #unreported: readonly ReportedPrefix[] = [];
  #table: RouteTable | undefined;
  #inFlight = 0;

  /** @param parts Ports and state. */
  constructor(parts: CallForwarderParts) {
    const { fleet, loads, random, registry } = parts;
    this.#parts = parts;
    this.#repeatBounds = parts.repeatBounds;
    this.#line = new WaitingLine(parts.clock);
    const servers = new ServerChooser({
      ownRegion: fleet.self.region,
      registry,
      loads,
      speeds: this.#speeds,
      health: this.#health,
      prefixes: this.#prefixes,
      warmUp: this.#warmUp,
    });
    this.#places = new PlaceChooser({
      fleet,
      servers,
      random,
      listRegions: () => fleet.listRegions(),
    });
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
    this.#table = table;
    this.#line.wakeFirst(this.#line.length);
  }

  /** Returns how long the servers of a service are cold after a start, in milliseconds. */
  readWarmUpMs(service: string): number {
    return this.#table?.findService(service)?.warmUpMs ?? 0;
  }

  /** Takes other bounds on repeated sends; what was sent so far is forgotten. */
  setRepeatBounds(bounds: RepeatBounds): void {
    this.#repeatBounds = bounds;
    this.#repeats.clear();
  }

  /** Lets waiting calls look for room again. */
  wake(): void {
    this.#line.wakeFirst(WOKEN_AT_ONCE);
  }

  /** Returns the prompt parts sent since the last call, for the next report. */
  takePrefixes(): readonly ReportedPrefix[] {
    const taken = this.#unreported;
    this.#unreported = [];
    return taken;
  }

  /** Takes prompt parts that other instances have sent to servers. */
  learnPrefixes(prefixes: readonly ReportedPrefix[]): void {
    prefixes.forEach(({ server, part, tokens }) =>
      this.#prefixes.record(
        server,
        { key: part, tokens },
        this.#readCacheTokens(server),
      )
    );
  }

  /** Forgets what was learned of servers that are gone. */
  forgetGone(): void {
    const known = new Set<BackendId>(
      this.#parts.registry.servers.map(({ entry }) => entry.id),
    );
    [this.#speeds, this.#health, this.#prefixes, this.#warmUp]
      .forEach((each) => each.keepOnly(known));
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

  /**
   * Answers a call with a refusal, in the form that its sender understands.
   *
   * @param call The call.
   * @param sink Where the answer goes.
   * @param refusal Why it is refused.
   * @param tried Servers that refused it.
   */
  refuse(
    call: OpaqueCall,
    sink: CallSink,
    refusal: Refusal,
    tried: readonly BackendId[] = [],
  ): void {
    const { head, body } = toRefusalAnswer(refusal);
    const marks = this.#markAnswer(
      call,
      isNotRun(refusal.reason) ? "not-run" : "unknown",
      tried,
    );
    sink.begin({ ...head, headers: [...head.headers, ...marks] });
    sink.write(body);
    sink.end([]);
  }

  async #serve(call: OpaqueCall, sink: CallSink): Promise<void> {
    const facts = this.#parts.grammar.readCall(call.headers);
    if (this.#table === undefined) {
      this.refuse(call, sink, {
        reason: "no-configuration",
        message: "This instance knows no configuration yet",
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
      return;
    }
    const route = this.#table.findRoute(facts.host, call.target);
    if (route === undefined) {
      this.#refuseUnrouted(call, sink, facts.host);
      return;
    }
    const service = this.#table.findService(
      pickService(route, this.#parts.random.nextFloat()),
    );
    if (service === undefined) {
      this.refuse(call, sink, {
        reason: "no-room",
        message: `The service of route "${route.name}" is not declared`,
        retryAfterMs: NO_CONFIGURATION_RETRY_MS,
      });
      return;
    }
    const { origin } = call;
    const hop = origin.kind === "instance" ? origin.hop : undefined;
    const remainingMs = hop !== undefined
      ? hop.remainingMs
      : Math.min(facts.remainingMs ?? NO_BOUND_MS, route.timeoutMs);
    const dueMs = call.receivedMs + remainingMs;
    const given = new AbortController();
    const giveUp = () => given.abort("given up");
    sink.signal.addEventListener("abort", giveUp, { once: true });
    const timer = new AbortController();
    this.#parts.clock.schedule(
      Math.max(0, dueMs - this.#parts.clock.nowMs()),
      giveUp,
      timer.signal,
    );
    const exchange: Exchange = {
      call,
      facts,
      route,
      service,
      sink,
      parts: placeParts(facts.prompt?.parts ?? []),
      leastGapMs: this.#table.findLeastGapMs(service.name),
      dueMs,
      signal: given.signal,
      progress: {
        hasBegun: false,
        lastEventId: hop?.resumeAfter ?? facts.lastEventId,
      },
      tried: new Set(hop?.tried),
      waitOrder: this.#line.takeOrder(),
      // Only the instance that the caller reached repeats calls.
      attemptsLeft: hop === undefined ? route.maxAttempts : 1,
      sentTo: [],
      mayHaveRun: false,
      heldAnswer: undefined,
      avoidedRegions: new Set(),
      avoidedInstances: new Set(),
    };
    if (origin.kind === "caller") {
      this.#readBudget(service.name).recordCall(call.receivedMs);
    }
    await this.#forward(exchange);
    timer.abort("done");
    sink.signal.removeEventListener("abort", giveUp);
  }

  /** Returns what an answer tells another instance; nothing for a caller. */
  #markAnswer(
    call: OpaqueCall,
    kind: HopAnswer["kind"],
    tried: readonly BackendId[],
  ): readonly string[] {
    if (call.origin.kind === "caller") return [];
    const servedMs = this.#parts.clock.nowMs() - call.receivedMs;
    return writeHopAnswer({ kind, servedMs, tried });
  }

  #refuseUnrouted(call: OpaqueCall, sink: CallSink, host: string): void {
    // Another instance may be ahead of this one: its call has a route.
    const isForwarded = call.origin.kind === "instance";
    this.refuse(call, sink, {
      reason: isForwarded ? "no-room" : "no-route",
      message: `No route has host "${host}" and begins path "${call.target}"`,
    });
  }

  async #forward(exchange: Exchange): Promise<void> {
    while (!exchange.signal.aborted) {
      const nowMs = this.#parts.clock.nowMs();
      const place = this.#places.choose(exchange, nowMs);
      if (place.kind === "here" || place.kind === "away") {
        const outcome = await this.#attempt(exchange, place);
        if (this.#settle(exchange, place, outcome)) return;
        continue;
      }
      const { targetMs, priority } = exchange.route;
      const patienceMs = exchange.call.receivedMs +
        WAIT_PART_OF_TARGET * targetMs - nowMs;
      if (patienceMs <= 0) {
        this.#finishWithout(exchange, {
          reason: "no-room",
          message: place.kind === "nowhere"
            ? `No server of "${exchange.service.name}" may take the call`
            : `Every server of "${exchange.service.name}" is full`,
          retryAfterMs: NO_ROOM_RETRY_MS,
        }, { servers: this.#describeServers(exchange, nowMs) });
        return;
      }
      await this.#line.wait(
        { priority, order: exchange.waitOrder },
        patienceMs,
        exchange.signal,
      );
    }
    this.#finishWithout(exchange, {
      reason: exchange.mayHaveRun ? "timed-out" : "no-time",
      message: "The time of the call is over",
      retryAfterMs: exchange.mayHaveRun ? undefined : NO_ROOM_RETRY_MS,
    });
  }

  async #attempt(
    exchange: Exchange,
    place: Extract<Place, { kind: "here" | "away" }>,
  ): Promise<AttemptOutcome> {
    return place.kind === "here"
      ? await this.#sendToServer(exchange, place.candidate)
      : await this.#sendToInstance(exchange, place);
  }

  async #sendToServer(
    exchange: Exchange,
    candidate: Candidate,
  ): Promise<AttemptOutcome> {
    const { clock, fleet, grammar, loads } = this.#parts;
    const { server, unreadTokens, memoryTokens } = candidate;
    const { entry } = server;
    const { call, service } = exchange;
    const startMs = clock.nowMs();
    const instances = fleet.countSharing(entry.region);
    if (startMs < server.coldUntilMs && service.warmUpCallsPerSecond > 0) {
      const callsPerSecond = service.warmUpCallsPerSecond;
      this.#warmUp.record(entry.id, { callsPerSecond, instances }, startMs);
    }
    const aheadTokens = loads.readTotal(entry.id).pendingTokens;
    const load = { calls: 1, pendingTokens: unreadTokens, memoryTokens };
    loads.addOwn(entry.id, load);
    this.#recordParts(exchange, entry.id);
    exchange.tried.add(entry.id);
    exchange.sentTo.push(entry.id);
    let isPending = true;
    const settlePending = () => {
      if (!isPending) return;
      isPending = false;
      loads.addOwn(entry.id, {
        calls: 0,
        pendingTokens: -unreadTokens,
        memoryTokens: 0,
      });
    };
    const outcome = await runAttempt({
      client: this.#parts.client,
      grammar,
      sink: exchange.sink,
      request: {
        address: entry.address,
        method: call.method,
        target: call.target,
        headers: grammar.writeSend(call.headers, {
          serverId: entry.id,
          remainingMs: Math.max(1, Math.floor(exchange.dueMs - startMs)),
          lastEventId: exchange.progress.lastEventId,
        }),
        body: call.body,
        maxConnections: Math.max(
          1,
          Math.floor(service.maxConnections / Math.max(1, instances)),
        ),
      },
      callId: exchange.facts.callId,
      isHop: false,
      holdsFailures: isRepeatable(exchange) && exchange.attemptsLeft > 1,
      framesEvents: isRepeatable(exchange) &&
        exchange.route.routeClass === "stream",
      progress: exchange.progress,
      createMarks: () => this.#markAnswer(call, "answered", exchange.sentTo),
      onFirstByte: () => {
        settlePending();
        const firstByteMs = clock.nowMs() - startMs;
        this.#speeds.record(entry.id, service.name, {
          tokens: aheadTokens + unreadTokens,
          firstByteMs,
        });
        this.#parts.metrics.time("call.first_byte_ms", firstByteMs, {
          service: service.name,
        });
      },
      signal: exchange.signal,
      clock,
      patienceMs: readPatience(exchange, candidate),
    });
    settlePending();
    loads.addOwn(entry.id, {
      calls: -1,
      pendingTokens: 0,
      memoryTokens: -memoryTokens,
    });
    this.#learn(exchange, entry.id, outcome);
    this.wake();
    return outcome;
  }

  async #sendToInstance(
    exchange: Exchange,
    place: Extract<Place, { kind: "away" }>,
  ): Promise<AttemptOutcome> {
    const { clock, fleet, grammar } = this.#parts;
    const { call, facts } = exchange;
    const { candidate, member, region } = place;
    const startMs = clock.nowMs();
    this.#parts.metrics.count("call.away", 1, {
      service: exchange.service.name,
      region,
    });
    this.#places.addUnderWay(region, candidate.unreadTokens);
    let isUnderWay = true;
    const settleUnderWay = () => {
      if (!isUnderWay) return;
      isUnderWay = false;
      this.#places.addUnderWay(region, -candidate.unreadTokens);
    };
    const outcome = await runAttempt({
      client: this.#parts.peerClient,
      grammar,
      sink: exchange.sink,
      request: {
        address: member.address,
        method: call.method,
        target: call.target,
        headers: [
          ...pickForwarded(
            call.headers,
            (name) => isHopHeader(name) ? "never" : "unless-named",
          ),
          ...writeHop({
            from: fleet.self.id,
            remainingMs: Math.max(1, exchange.dueMs - startMs),
            resumeAfter: exchange.progress.lastEventId,
            tried: [...exchange.tried],
          }),
        ],
        body: call.body,
        maxConnections: MAX_PEER_CONNECTIONS,
      },
      callId: facts.callId,
      isHop: true,
      holdsFailures: false,
      framesEvents: isRepeatable(exchange) &&
        exchange.route.routeClass === "stream",
      progress: exchange.progress,
      onHeaders: (headers) => {
        const answer = readHopAnswer(headers);
        if (answer === undefined) return;
        answer.tried.forEach((server) => exchange.tried.add(server));
        const roundTripMs = clock.nowMs() - startMs - answer.servedMs;
        this.#places.recordRoundTrip(region, roundTripMs);
      },
      onFirstByte: settleUnderWay,
      signal: exchange.signal,
      clock,
    });
    settleUnderWay();
    return outcome;
  }

  /**
   * Decides what follows an attempt.
   *
   * @returns Whether the call is done.
   */
  #settle(
    exchange: Exchange,
    place: Extract<Place, { kind: "here" | "away" }>,
    outcome: AttemptOutcome,
  ): boolean {
    const isHop = place.kind === "away";
    const at = isHop ? place.member.id : place.candidate.server.entry.id;
    switch (outcome.kind) {
      case "answered":
        this.#count(exchange, "answered");
        return true;
      case "given-up":
        exchange.mayHaveRun = true;
        // The loop's end answers it, if the caller is still there.
        return false;
      case "not-sent":
        this.#log(exchange, "not sent", { at, reason: outcome.message });
        if (isHop) exchange.avoidedInstances.add(place.member.id);
        return false;
      case "rejected": {
        this.#log(exchange, "rejected", {
          at,
          isOtherServer: outcome.isOtherServer,
        });
        if (isHop) {
          exchange.avoidedRegions.add(place.region);
          exchange.attemptsLeft -= outcome.sends;
        } else if (!outcome.isOtherServer) exchange.attemptsLeft--;
        return this.#decideRepeat(exchange, true, {
          reason: "rejected",
          message: "A server refused the call without running it",
          retryAfterMs: NO_ROOM_RETRY_MS,
        });
      }
      case "failed":
        exchange.heldAnswer = outcome.answer;
        exchange.attemptsLeft--;
        exchange.mayHaveRun = true;
        return this.#decideRepeat(exchange, isRepeatable(exchange), {
          reason: "no-answer",
          message: "A server failed",
        });
      case "no-answer":
      case "broken": {
        this.#log(exchange, outcome.kind, { at, reason: outcome.message });
        exchange.attemptsLeft--;
        exchange.mayHaveRun = true;
        if (isHop) exchange.avoidedInstances.add(place.member.id);
        const mayRepeat = isRepeatable(exchange) && isResumableNow(exchange);
        return this.#decideRepeat(exchange, mayRepeat, {
          reason: "no-answer",
          message: "A server had the call and gave no whole answer",
        });
      }
    }
  }

  /** @returns Whether the call is done: it may not be sent once more. */
  #decideRepeat(
    exchange: Exchange,
    mayRepeat: boolean,
    refusal: Refusal,
  ): boolean {
    const { clock, fleet } = this.#parts;
    const nowMs = clock.nowMs();
    const isAllowed = mayRepeat && exchange.attemptsLeft > 0 &&
      !exchange.signal.aborted &&
      this.#readBudget(exchange.service.name).take(
        nowMs,
        fleet.countSharing(),
      );
    if (isAllowed) {
      this.#parts.metrics.count("call.repeats", 1, {
        service: exchange.service.name,
      });
      return false;
    }
    this.#finishWithout(exchange, refusal);
    return true;
  }

  /** Ends a call that no server answered. */
  #finishWithout(
    exchange: Exchange,
    refusal: Refusal,
    inputs: Readonly<Record<string, string>> = {},
  ): void {
    const { call, heldAnswer, progress, sink } = exchange;
    if (sink.signal.aborted) {
      this.#count(exchange, "caller-left");
      return;
    }
    this.#count(exchange, refusal.reason);
    if (progress.hasBegun) {
      this.#log(exchange, "answer broken off", { reason: refusal.reason });
      sink.breakOff();
      return;
    }
    if (heldAnswer !== undefined) {
      sink.begin({
        ...heldAnswer.head,
        headers: [
          ...pickForwarded(heldAnswer.head.headers),
          ...this.#markAnswer(call, "answered", exchange.sentTo),
        ],
      });
      sink.write(heldAnswer.body);
      sink.end(heldAnswer.trailers);
      return;
    }
    const honest: Refusal = exchange.mayHaveRun && isNotRun(refusal.reason)
      ? { reason: "no-answer", message: refusal.message }
      : refusal;
    this.#log(exchange, "refused", {
      reason: honest.reason,
      detail: honest.message,
      ...inputs,
    });
    this.refuse(call, sink, honest, exchange.sentTo);
  }

  /** Says of each server of the own region why it has no room, for the log. */
  #describeServers(exchange: Exchange, nowMs: number): string {
    const { fleet, loads, registry } = this.#parts;
    const { region } = fleet.self;
    return registry.listUsable(exchange.service.name, region)
      .map(({ entry, coldUntilMs }) => {
        const { calls, memoryTokens, pendingTokens } = loads.readTotal(
          entry.id,
        );
        const coldMs = Math.max(0, Math.round(coldUntilMs - nowMs));
        return `${entry.id} calls=${calls} pending=${pendingTokens}` +
          ` memory=${memoryTokens} cold=${coldMs}`;
      }).join("; ");
  }

  #learn(
    exchange: Exchange,
    server: BackendId,
    outcome: AttemptOutcome,
  ): void {
    const { clock, logger, registry } = this.#parts;
    const nowMs = clock.nowMs();
    if (outcome.kind === "rejected" && outcome.coldForMs !== undefined) {
      registry.markCold(server, nowMs + outcome.coldForMs);
    }
    if (outcome.kind === "rejected" && outcome.isOtherServer) {
      this.#health.suspend(server, nowMs + REPLACED_PAUSE_MS);
    }
    const told = toServerOutcome(outcome);
    if (told === undefined) return;
    if (this.#health.record(server, told, nowMs)) {
      logger.warn("server left out", {
        server,
        service: exchange.service.name,
      });
    }
  }

  #recordParts(exchange: Exchange, server: BackendId): void {
    if (exchange.service.engine === undefined) return;
    exchange.parts.forEach((part) => {
      this.#prefixes.record(server, part, this.#readCacheTokens(server));
    });
    const reported = exchange.parts.map(({ key, tokens }) => ({
      server,
      part: key,
      tokens,
    }));
    this.#unreported = [...this.#unreported, ...reported]
      .slice(-MAX_UNREPORTED_PREFIXES);
  }

  #readCacheTokens(server: BackendId): number {
    const service = this.#parts.registry.find(server)?.entry.service;
    const engine = service === undefined
      ? undefined
      : this.#table?.findService(service)?.engine;
    return CACHED_MEMORY_PART * (engine?.cacheTokens ?? 0);
  }

  #readBudget(service: string): RepeatBudget {
    const known = this.#repeats.get(service);
    if (known !== undefined) return known;
    const budget = new RepeatBudget(this.#repeatBounds);
    this.#repeats.set(service, budget);
    return budget;
  }

  #count(exchange: Exchange, result: string): void {
    const { clock, metrics } = this.#parts;
    const service = exchange.service.name;
    metrics.count("call.count", 1, { service, result });
    const totalMs = clock.nowMs() - exchange.call.receivedMs;
    metrics.time("call.total_ms", totalMs, { service });
  }

  #log(
    exchange: Exchange,
    message: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    const { clock, logger } = this.#parts;
    const { call, facts, route, service } = exchange;
    logger.info(message, {
      call: facts.callId,
      route: route.name,
      service: service.name,
      configuration: this.#table?.configuration.version,
      origin: call.origin.kind === "instance" ? call.origin.hop.from : "caller",
      afterMs: Math.round(clock.nowMs() - call.receivedMs),
      attemptsLeft: exchange.attemptsLeft,
      ...fields,
    });
  }
}

/** Only the first send of a call that may be repeated is cut short. */
function readPatience(
  exchange: Exchange,
  { estimateMs }: Candidate,
): number | undefined {
  if (!isRepeatable(exchange) || exchange.attemptsLeft < 2) return undefined;
  return Math.max(
    SILENCE_ESTIMATES * estimateMs,
    SILENCE_PART_OF_TARGET * exchange.route.targetMs,
  );
}

function toServerOutcome(outcome: AttemptOutcome): ServerOutcome | undefined {
  switch (outcome.kind) {
    case "answered":
      return outcome.status >= 500 ? "error" : "answered";
    case "failed":
      return "error";
    case "not-sent":
    case "no-answer":
    case "broken":
      return "no-answer";
    case "rejected":
    case "given-up":
      return undefined;
  }
}
