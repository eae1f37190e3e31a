import type { Clock } from "../clock/mod.ts";
import type { FleetView, LoadTracker } from "../fleet/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { BackendId } from "../ids/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CallQuarantine } from "../quarantine/mod.ts";
import type { ServerRegistry } from "../servers/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./attempt_outcome.ts";
import type { CallHeaderCodec } from "./call_header_codec.ts";
import type { CallReplies } from "./call_replies.ts";
import type { Candidate } from "./choose_server.ts";
import type { CrashConfirmer } from "./crash_confirmer.ts";
import { type Exchange, isRetryable, readStreamHandling } from "./exchange.ts";
import type { LearnedServers } from "./learned_servers.ts";
import { computeFirstByteTimeoutMs } from "./compute_first_byte_timeout.ts";
import type { Handover, HandoverEvents } from "./handover.ts";
import { toEndedOutcome } from "./repeated_send.ts";
import { runAttempt } from "./run_attempt.ts";
import type { SendRequest, ServerClient } from "./server_client.ts";
import { SendEvidence } from "./send_evidence.ts";
import { ServerFactsRecorder } from "./server_facts_recorder.ts";
import type { ServerVersions } from "./server_versions.ts";
import { toServerOutcome } from "./to_server_outcome.ts";

/**
 * How long a server is excluded after another server answered at its address, in
 * milliseconds. The entry of the excluded server expires in that time.
 */
const MISDIRECTED_SUSPENSION_MS = 4_000;
/**
 * Time from the first byte of an answer, in milliseconds, after which a crash of the server
 * is not attributed to the call: a call that crashes servers does so as it begins to run.
 */
export const CRASH_ATTRIBUTION_MS = 500;

/** How one send is cancelled and handed over. */
export interface SendOptions {
  /** Starts a handover to a second destination. Returns `undefined` if there is none now. */
  readonly startHandover: (events: HandoverEvents) => Handover | undefined;
  /** Aborts the send. Default: the signal of the exchange. */
  readonly signal?: AbortSignal;
  /** Called when the head of the answer shows that the call runs. Default: nothing. */
  readonly onAccepted?: () => void;
  /** Called before any part of an answer is passed on. Default: nothing. */
  readonly onDelivering?: () => void;
  /** Called with the servers that another instance sent the call to. Default: nothing. */
  readonly onRemoteServers?: (servers: readonly BackendId[]) => void;
}

/** Dependencies of a {@linkcode ServerSender}. */
export interface ServerSenderParts {
  readonly clock: Clock;
  readonly headerCodec: CallHeaderCodec;
  readonly client: ServerClient;
  readonly registry: ServerRegistry;
  readonly fleet: FleetView;
  readonly loads: LoadTracker;
  readonly learned: LearnedServers;
  /** Counts sends by the versions of their servers. */
  readonly versions: ServerVersions;
  /** Records crashes of servers and the calls that they had. */
  readonly quarantine: CallQuarantine;
  /** Tells crashes of servers from lost connections. */
  readonly crashConfirmer: CrashConfirmer;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly replies: CallReplies;
}

/**
 * Sends calls to backend servers, counts them as load while they run, and records what their
 * outcomes show about the servers.
 */
export class ServerSender {
  readonly #parts: ServerSenderParts;
  readonly #facts: ServerFactsRecorder;

  /** @param parts Clock, client, logger, metrics and what is known of servers. */
  constructor(parts: ServerSenderParts) {
    this.#parts = parts;
    this.#facts = new ServerFactsRecorder(parts);
  }

  /**
   * Sends a call to a server and passes on its answer.
   *
   * @param exchange The call.
   * @param candidate The server, with the estimated cost of the call there.
   * @param options How the send is cancelled and handed over.
   */
  async send(
    exchange: Exchange,
    candidate: Candidate,
    options: SendOptions,
  ): Promise<AttemptOutcome> {
    const { clock, headerCodec, learned, loads, metrics, versions } =
      this.#parts;
    const { server: { entry }, prefillTokens } = candidate;
    const { service } = exchange;
    const startMs = clock.nowMs();
    const queuedTokens = loads.readTotal(entry.id).pendingTokens;
    const gated = learned.rejectionGate.begin(entry.id, candidate.usage);
    const load = this.#beginLoad(candidate);
    const liveness = learned.liveness.begin(entry.id, startMs);
    // The server was chosen in the same turn of the event loop: what the rollout allowed then
    // is still allowed.
    const counted = versions.beginSend(candidate.server, exchange.route.name);
    const evidence = counted && new SendEvidence(counted, exchange, startMs);
    const version = versions.readVersion(candidate.server);
    this.#recordSend(exchange, candidate, startMs);
    learned.costJitter.record(
      service.name,
      this.#estimateReadingMs(candidate),
      startMs,
    );
    let firstByteMs: number | undefined;
    const canRetry = isRetryable(exchange) && exchange.attemptsLeft > 1;
    const outcome = await runAttempt({
      client: this.#parts.client,
      headerCodec,
      sink: exchange.sink,
      request: this.#createRequest(exchange, candidate, startMs),
      holdsFailures: canRetry || exchange.isHandingOver,
      streams: readStreamHandling(exchange),
      progress: exchange.progress,
      toPassedHead: (head) => {
        exchange.progress.version ??= version;
        return this.#parts.replies.toPassedHead(exchange, head);
      },
      onActivity: () => {
        const nowMs = clock.nowMs();
        liveness.recordBytes(nowMs);
        evidence?.recordBytes(nowMs);
      },
      onFacts: (facts) => this.#facts.record(entry, facts, startMs),
      onMismatch: (answer) =>
        this.#parts.replies.recordMismatch(exchange, entry.id, answer),
      onAnswerEnd: (end) =>
        metrics.count("call.answer_ends", 1, {
          service: service.name,
          ...end,
        }),
      onFirstByte: () => {
        load.endReading();
        firstByteMs = clock.nowMs();
        evidence?.recordFirstByte(firstByteMs);
        const tookMs = firstByteMs - startMs;
        learned.speeds.record(entry.id, service.name, {
          tokens: queuedTokens + prefillTokens,
          firstByteMs: tookMs,
        });
        metrics.time("call.first_byte_ms", tookMs, { service: service.name });
      },
      signal: options.signal ?? exchange.signal,
      onAccepted: () => {
        gated.release();
        options.onAccepted?.();
      },
      onDelivering: options.onDelivering,
      onPause: () => liveness.pause(),
      onResume: () => {
        const nowMs = clock.nowMs();
        liveness.resume(nowMs);
        evidence?.recordResume(nowMs);
      },
      startHandover: options.startHandover,
      clock,
      firstByteTimeoutMs: computeFirstByteTimeoutMs(
        exchange,
        candidate.estimateMs,
      ),
      isServerDead: canRetry
        ? () => learned.liveness.isDead(entry.id, clock.nowMs())
        : undefined,
    });
    load.end();
    liveness.end();
    gated.release();
    const ended = toEndedOutcome(outcome);
    evidence?.end(ended, clock.nowMs());
    if (ended.kind === "rejected") gated.reject(clock.nowMs());
    this.#recordOutcome(exchange, candidate, ended, startMs);
    void this.#recordForQuarantine(exchange, candidate, ended, firstByteMs);
    return outcome;
  }

  #createRequest(
    exchange: Exchange,
    candidate: Candidate,
    nowMs: number,
  ): SendRequest {
    const { access, call, deadlineMs, facts, progress } = exchange;
    const { entry } = candidate.server;
    return {
      address: entry.address,
      callId: facts.callId,
      method: call.method,
      target: call.target,
      headers: this.#parts.headerCodec.writeSend(call.headers, {
        serverName: entry.name,
        rank: access.rank,
        team: access.caller?.team.id,
        withholdsKeys: access.withholdsKeys,
        remainingMs: Math.max(1, Math.floor(deadlineMs - nowMs)),
        lastEventId: progress.lastEventId,
      }),
      body: call.body,
      maxConnections: this.#computeMaxConnections(candidate, exchange),
    };
  }

  /** Counts a call as load of its server until the returned functions end its prompt reading and the call. */
  #beginLoad(
    candidate: Candidate,
  ): { readonly endReading: () => void; readonly end: () => void } {
    const { loads } = this.#parts;
    const {
      memoryTokens,
      prefillTokens,
      server: { entry: { id } },
    } = candidate;
    loads.addOwn(id, { calls: 1, pendingTokens: prefillTokens, memoryTokens });
    let isReading = true;
    const endReading = () => {
      if (!isReading) return;
      isReading = false;
      loads.addOwn(id, {
        calls: 0,
        pendingTokens: -prefillTokens,
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
      learned.recordSent(entry.id, exchange.promptParts);
    }
    exchange.isFirstSend = false;
    exchange.tried.add(entry.id);
    exchange.sentTo = [...exchange.sentTo, entry.id];
  }

  /** Returns how long the prompt of a call delays the calls behind it at its server, in milliseconds. */
  #estimateReadingMs(
    { server: { entry: { id, service } }, prefillTokens }: Candidate,
  ): number {
    const { speeds } = this.#parts.learned;
    return speeds.estimateMs(id, service, prefillTokens) -
      speeds.estimateMs(id, service, 0);
  }

  #computeMaxConnections(
    { server: { entry } }: Candidate,
    { service }: Exchange,
  ): number {
    const instances = this.#parts.fleet.countInstancesSharingLimits(
      entry.region,
    );
    return Math.max(1, Math.floor(service.maxConnections / instances));
  }

  #recordOutcome(
    exchange: Exchange,
    candidate: Candidate,
    outcome: EndedOutcome,
    startMs: number,
  ): void {
    const { clock, learned: { health, links }, logger } = this.#parts;
    const { id } = candidate.server.entry;
    const nowMs = clock.nowMs();
    if (outcome.kind === "not-sent" && outcome.isOwnLimit !== true) {
      const service = exchange.service.name;
      const { message: reason } = outcome;
      if (links.recordFailure(id, { nowMs, tookMs: nowMs - startMs })) {
        logger.warn("server unreachable", { server: id, service, reason });
      }
    }
    // A reset connection may be that of a server that is well, or one of many that broke.
    if (outcome.kind === "no-answer") links.suspect(id, nowMs);
    if (outcome.kind === "rejected" && outcome.isMisdirected) {
      health.suspend(id, nowMs + MISDIRECTED_SUSPENSION_MS);
    }
    const serverOutcome = toServerOutcome(outcome);
    if (serverOutcome === undefined) return;
    const route = exchange.route.name;
    if (health.record(id, { outcome: serverOutcome, route }, nowMs)) {
      logger.warn("server suspended", {
        server: id,
        service: exchange.service.name,
      });
    }
  }

  /** Records for the quarantine whether the call was answered or its server crashed. */
  async #recordForQuarantine(
    { content, isTrial }: Exchange,
    { server: { entry } }: Candidate,
    outcome: EndedOutcome,
    firstByteMs: number | undefined,
  ): Promise<void> {
    const { clock, crashConfirmer, quarantine } = this.#parts;
    const nowMs = clock.nowMs();
    if (isServed(outcome)) quarantine.recordAnswer(content, nowMs);
    if (!mayHaveCrashedServer(outcome, firstByteMs, nowMs)) return;
    if (await crashConfirmer.confirm(entry)) {
      quarantine.recordCrash(content, entry.id, nowMs, { isTrial });
    }
  }
}

/** Returns whether the server may have crashed before the call had run for long. */
function mayHaveCrashedServer(
  outcome: EndedOutcome,
  firstByteMs: number | undefined,
  nowMs: number,
): boolean {
  const isLost = outcome.kind === "no-answer" || outcome.kind === "broken";
  const isEarly = firstByteMs === undefined ||
    nowMs - firstByteMs < CRASH_ATTRIBUTION_MS;
  return isLost && isEarly && outcome.isClosed === true;
}

/** Returns whether a server answered with something other than a failure of its own. */
function isServed(outcome: EndedOutcome): boolean {
  return outcome.kind === "answered" && outcome.status < 500;
}
