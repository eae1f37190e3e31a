import type { Clock } from "../clock/mod.ts";
import type { FleetView, LoadBoard } from "../fleet/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CallQuarantine } from "../quarantine/mod.ts";
import type { RegisteredServer, ServerRegistry } from "../servers/mod.ts";
import type { AnswerFacts, CallGrammar } from "./call_grammar.ts";
import type { Candidate } from "./choose_server.ts";
import { type Exchange, isRepeatable } from "./exchange.ts";
import type { LearnedServers } from "./learned_servers.ts";
import { readPatience } from "./read_patience.ts";
import type { Offer, OfferEvents } from "./offer.ts";
import {
  type AttemptOutcome,
  type EndedOutcome,
  runAttempt,
} from "./run_attempt.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerOutcome } from "./server_health.ts";

/** How long a server is left out whose address another one has, in milliseconds: its entry lapses meanwhile. */
const REPLACED_PAUSE_MS = 4_000;
/**
 * Time from the first byte of an answer, in milliseconds, after which a server that
 * ends does not end for that call: one that ends servers does so as it begins to run.
 */
export const BEGINNING_MS = 500;

/** How one send goes on beside others of the same call. */
export interface SendOptions {
  /** Offers the call to another place while this one has it; `undefined`: there is none now. */
  readonly offerElsewhere: (events: OfferEvents) => Offer | undefined;
  /** Gives the send up. Default: the signal of the call. */
  readonly signal?: AbortSignal;
  /** Called before anything of an answer is passed on. Default: nothing. */
  readonly onTaken?: () => void;
}

/** What sends to backend servers are made with. */
export interface ServerSenderParts {
  readonly clock: Clock;
  readonly grammar: CallGrammar;
  readonly client: ServerClient;
  readonly registry: ServerRegistry;
  readonly fleet: FleetView;
  readonly loads: LoadBoard;
  readonly learned: LearnedServers;
  /** Learns under which calls servers end. */
  readonly quarantine: CallQuarantine;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns headers that an answer gets beside the server's own. */
  readonly createMarks: (exchange: Exchange) => readonly string[];
}

/** Sends calls to backend servers, counts their load meanwhile, and learns from their ends. */
export class ServerSender {
  readonly #parts: ServerSenderParts;

  /** @param parts Ports, and what is counted and learned. */
  constructor(parts: ServerSenderParts) {
    this.#parts = parts;
  }

  /**
   * Sends a call to a server and passes its answer on.
   *
   * @param exchange The call.
   * @param candidate The server, with what the call costs it.
   * @param options How it goes on beside other sends.
   */
  async send(
    exchange: Exchange,
    candidate: Candidate,
    options: SendOptions,
  ): Promise<AttemptOutcome> {
    const { clock, grammar, learned, loads, metrics } = this.#parts;
    const { server: { entry }, unreadTokens } = candidate;
    const { call, service } = exchange;
    const startMs = clock.nowMs();
    const aheadTokens = loads.readTotal(entry.id).pendingTokens;
    const load = this.#beginLoad(candidate);
    const pulse = learned.pulses.begin(entry.id, startMs);
    this.#recordSend(exchange, candidate, startMs);
    learned.crowd.record(
      service.name,
      this.#estimateReadingMs(candidate),
      startMs,
    );
    let firstByteMs: number | undefined;
    const mayGoOn = isRepeatable(exchange) && exchange.attemptsLeft > 1;
    const outcome = await runAttempt({
      client: this.#parts.client,
      grammar,
      sink: exchange.sink,
      request: {
        address: entry.address,
        method: call.method,
        target: call.target,
        headers: grammar.writeSend(call.headers, {
          serverName: entry.name,
          rank: exchange.access.rank,
          team: exchange.access.caller?.team.id,
          keepsKeys: exchange.access.keepsKeys,
          remainingMs: Math.max(1, Math.floor(exchange.dueMs - startMs)),
          lastEventId: exchange.progress.lastEventId,
        }),
        body: call.body,
        maxConnections: this.#readConnectionShare(candidate, exchange),
      },
      callId: exchange.facts.callId,
      isHop: false,
      holdsFailures: mayGoOn,
      framesEvents: isRepeatable(exchange) &&
        exchange.route.routeClass === "stream",
      progress: exchange.progress,
      createMarks: () => this.#parts.createMarks(exchange),
      onHeard: () => pulse.hear(clock.nowMs()),
      onFacts: (facts) => this.#learnFacts(entry, facts, startMs),
      onFirstByte: () => {
        load.endReading();
        firstByteMs = clock.nowMs();
        const tookMs = firstByteMs - startMs;
        learned.speeds.record(entry.id, service.name, {
          tokens: aheadTokens + unreadTokens,
          firstByteMs: tookMs,
        });
        metrics.time("call.first_byte_ms", tookMs, { service: service.name });
      },
      signal: options.signal ?? exchange.signal,
      onTaken: options.onTaken,
      offerElsewhere: options.offerElsewhere,
      clock,
      patienceMs: readPatience(exchange, candidate.estimateMs),
      isServerGone: mayGoOn
        ? () => learned.pulses.isGone(entry.id, clock.nowMs())
        : undefined,
    });
    load.end();
    pulse.end();
    const ended = outcome.kind === "handed-over" ? outcome.left : outcome;
    this.#learn(exchange, candidate, ended);
    this.#learnOfCall(exchange, candidate, ended, firstByteMs);
    return outcome;
  }

  /** Counts a call as load of its server until it ends. */
  #beginLoad(
    candidate: Candidate,
  ): { readonly endReading: () => void; readonly end: () => void } {
    const { loads } = this.#parts;
    const { memoryTokens, unreadTokens, server: { entry: { id } } } = candidate;
    loads.addOwn(id, { calls: 1, pendingTokens: unreadTokens, memoryTokens });
    let isReading = true;
    const endReading = () => {
      if (!isReading) return;
      isReading = false;
      loads.addOwn(id, {
        calls: 0,
        pendingTokens: -unreadTokens,
        memoryTokens: 0,
      });
    };
    const end = () => {
      endReading();
      loads.addOwn(id, {
        calls: -1,
        pendingTokens: 0,
        memoryTokens: -memoryTokens,
      });
    };
    return { endReading, end };
  }

  #recordSend(
    exchange: Exchange,
    { server: { entry, coldUntilMs } }: Candidate,
    nowMs: number,
  ): void {
    const { learned } = this.#parts;
    const { service } = exchange;
    if (nowMs < coldUntilMs && service.warmUpCallsPerSecond > 0) {
      learned.warmUp.record(entry.id, service.warmUpCallsPerSecond, nowMs);
    }
    learned.limitGate.record(entry.id, nowMs);
    if (service.engine !== undefined) {
      learned.recordSent(entry.id, exchange.parts);
    }
    exchange.tried.add(entry.id);
    exchange.sentTo.push(entry.id);
  }

  /** Returns how long a call holds up those behind it at its server, in milliseconds. */
  #estimateReadingMs(
    { server: { entry: { id, service } }, unreadTokens }: Candidate,
  ): number {
    const { speeds } = this.#parts.learned;
    return speeds.estimateMs(id, service, unreadTokens) -
      speeds.estimateMs(id, service, 0);
  }

  #readConnectionShare(
    { server: { entry } }: Candidate,
    { service }: Exchange,
  ): number {
    const instances = this.#parts.fleet.countSharing(entry.region);
    return Math.max(1, Math.floor(service.maxConnections / instances));
  }

  #learn(
    exchange: Exchange,
    candidate: Candidate,
    outcome: EndedOutcome,
  ): void {
    const { clock, learned: { health }, logger } = this.#parts;
    const { id } = candidate.server.entry;
    const nowMs = clock.nowMs();
    if (outcome.kind === "rejected" && outcome.isOtherServer) {
      health.suspend(id, nowMs + REPLACED_PAUSE_MS);
    }
    const told = toServerOutcome(outcome);
    if (told === undefined) return;
    const route = exchange.route.name;
    if (health.record(id, { outcome: told, route }, nowMs)) {
      logger.warn("server left out", {
        server: id,
        service: exchange.service.name,
      });
    }
  }

  /** Learns what a server says of itself in the head of an answer. */
  #learnFacts(
    server: RegisteredServer,
    facts: AnswerFacts,
    sentMs: number,
  ): void {
    const { coldForMs, isLeaving, isOtherServer, restMs } = facts;
    const { id, service } = server;
    // Another server has the address: it speaks of itself.
    if (isOtherServer) return;
    this.#learnLimit(server, facts, sentMs);
    const { clock, learned: { health }, logger, registry } = this.#parts;
    const nowMs = clock.nowMs();
    if (coldForMs !== undefined && coldForMs > 0) {
      registry.markCold(id, nowMs + coldForMs);
    }
    if (isLeaving && registry.markLeaving(id)) {
      logger.info("server says that it leaves", { server: id, service });
    }
    if (restMs !== undefined && health.rest(id, nowMs + restMs, nowMs)) {
      const forMs = Math.round(restMs);
      logger.info("server asks for rest", { server: id, service, forMs });
    }
  }

  #learnLimit(
    { id, service }: RegisteredServer,
    { isNotExecuted, limitPerSecond: perSecond }: AnswerFacts,
    sentMs: number,
  ): void {
    // Who turns calls away has need, whether its answer names a limit or not.
    if (isNotExecuted && perSecond === undefined) return;
    const { clock, learned: { limits }, logger } = this.#parts;
    if (!limits.hear(id, { perSecond, sentMs }, clock.nowMs())) return;
    if (perSecond === undefined) {
      logger.info("server names no limit", { server: id, service });
    } else {
      logger.info("server names a limit", { server: id, service, perSecond });
    }
  }

  /** Learns whether the call is one under which servers end. */
  #learnOfCall(
    { content }: Exchange,
    { server: { entry: { id } } }: Candidate,
    outcome: EndedOutcome,
    firstByteMs: number | undefined,
  ): void {
    const { clock, quarantine } = this.#parts;
    const nowMs = clock.nowMs();
    if (isServed(outcome)) quarantine.recordAnswer(content, nowMs);
    if (hasEndedServer(outcome, firstByteMs, nowMs)) {
      quarantine.recordEnd(content, id, nowMs);
    }
  }
}

/** Whether an attempt ended with its server, before the call had run for long. */
function hasEndedServer(
  outcome: EndedOutcome,
  firstByteMs: number | undefined,
  nowMs: number,
): boolean {
  const isLost = outcome.kind === "no-answer" || outcome.kind === "broken";
  const isBeginning = firstByteMs === undefined ||
    nowMs - firstByteMs < BEGINNING_MS;
  return isLost && isBeginning && outcome.isClosed === true;
}

/** Whether a server answered, and not with a failure of its own. */
function isServed(outcome: EndedOutcome): boolean {
  return outcome.kind === "answered" && outcome.status < 500;
}

function toServerOutcome(outcome: EndedOutcome): ServerOutcome | undefined {
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
      return outcome.isOtherServer ? undefined : "rejected";
    case "given-up":
      return undefined;
  }
}
