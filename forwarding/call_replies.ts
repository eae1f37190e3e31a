import type { Clock } from "../clock/mod.ts";
import { MAY_BE_CUT_HEADER } from "../engine/mod.ts";
import type { BackendId, InstanceId } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Exchange } from "./exchange.ts";
import { type HopAnswer, isHopHeader, writeHopAnswer } from "./hop_headers.ts";
import { pickForwarded } from "./http_headers.ts";
import type { CallSink, OpaqueCall } from "./opaque_call.ts";
import type { MismatchedAnswer } from "./run_attempt.ts";
import type { AnswerHead } from "./server_client.ts";
import { isNotRun, type Refusal, toRefusalAnswer } from "./refusal.ts";

/** Dependencies of {@linkcode CallReplies}. */
export interface CallRepliesParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the version of the configuration in force. */
  readonly readVersion: () => number | undefined;
}

/** Answers calls that no server answers, and records in logs and metrics how calls end. */
export class CallReplies {
  readonly #parts: CallRepliesParts;

  /** @param parts Clock, logger, metrics and version of the configuration. */
  constructor(parts: CallRepliesParts) {
    this.#parts = parts;
  }

  /**
   * Answers a call with a refusal, with additional headers if an instance has forwarded it.
   *
   * @param call The call.
   * @param sink Destination of the answer.
   * @param refusal Why the call is refused.
   * @param sentTo Servers that this instance sent the call to. Default: none.
   */
  refuse(
    call: OpaqueCall,
    sink: CallSink,
    refusal: Refusal,
    sentTo: readonly BackendId[] = [],
  ): void {
    const { head, body } = toRefusalAnswer(refusal);
    const kind = isNotRun(refusal.reason) ? "not-run" : "unknown";
    const hopHeaders = this.#createHopHeaders(call, {
      kind,
      tried: sentTo,
      endsWithConnection: false,
      reason: refusal.reason,
      version: undefined,
    });
    sink.begin({ ...head, headers: [...head.headers, ...hopHeaders] });
    sink.write(body);
    sink.end([]);
  }

  /**
   * Returns the head with which a server's answer is passed on. One that ends with its connection
   * is passed on in chunks, as the system closes the connections of a process that is lost like
   * those of an answer that has ended. A header says that the last chunk only shows that this
   * instance has passed on all of it.
   *
   * @param exchange The call.
   * @param head Head of the server's answer.
   */
  toPassedHead(
    { call, progress, sentTo }: Exchange,
    head: AnswerHead,
  ): AnswerHead {
    const headers = pickForwarded(
      head.headers,
      (name) => isHopHeader(name) ? "never" : "unless-named",
    );
    const endsWithConnection = head.framing === "connection";
    if (call.origin.kind === "caller") {
      const mark = endsWithConnection ? [MAY_BE_CUT_HEADER, "true"] : [];
      return { ...head, headers: [...headers, ...mark] };
    }
    const hopHeaders = this.#createHopHeaders(call, {
      kind: "answered",
      tried: sentTo,
      endsWithConnection,
      reason: undefined,
      version: progress.version,
    });
    return { ...head, headers: [...headers, ...hopHeaders] };
  }

  /**
   * Ends a call that no server answered in full.
   *
   * @param exchange The call.
   * @param refusal Why it is refused.
   * @param inputs Additional fields for the log line.
   */
  finishUnanswered(
    exchange: Exchange,
    refusal: Refusal,
    inputs: Readonly<Record<string, string>> = {},
  ): void {
    const { call, progress, sink } = exchange;
    if (sink.signal.aborted) {
      this.count(exchange, "caller-left");
      this.#logClosed(exchange, false);
      return;
    }
    this.count(exchange, refusal.reason);
    if (progress.hasBegun) {
      this.log(exchange, "answer broken off", { reason: refusal.reason });
      sink.abort();
      return;
    }
    if (exchange.heldAnswer !== undefined) {
      this.#passHeldAnswer(exchange, exchange.heldAnswer);
      return;
    }
    const reported: Refusal = exchange.mayHaveRun && isNotRun(refusal.reason)
      ? { reason: "no-answer", message: refusal.message }
      : refusal;
    this.log(exchange, "refused", {
      reason: reported.reason,
      detail: reported.message,
      ...inputs,
    });
    this.refuse(call, sink, reported, exchange.sentTo);
  }

  /** Records the result and the duration of a call that has ended in the metrics. */
  count(exchange: Exchange, result: string): void {
    const { clock, metrics } = this.#parts;
    const service = exchange.service.name;
    metrics.count("call.count", 1, { service, result });
    const totalMs = clock.nowMs() - exchange.call.receivedMs;
    metrics.time("call.total_ms", totalMs, { service });
    if (result !== "answered") return;
    // The end of an answer may still wait for a caller that reads slowly.
    exchange.sink.signal.addEventListener(
      "abort",
      () => this.#logClosed(exchange, true),
      { once: true },
    );
  }

  /** Writes a log line about a call. */
  log(
    exchange: Exchange,
    message: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    const { clock, logger, readVersion } = this.#parts;
    const { call, facts, route, service } = exchange;
    logger.info(message, {
      call: facts.callId,
      route: route.name,
      service: service.name,
      configuration: readVersion(),
      origin: call.origin.kind === "instance" ? call.origin.hop.from : "caller",
      afterMs: Math.round(clock.nowMs() - call.receivedMs),
      ...(call.unreadMs > 0 ? { unreadMs: Math.round(call.unreadMs) } : {}),
      attemptsLeft: exchange.attemptsLeft,
      ...fields,
    });
  }

  /**
   * Records an answer that was not taken for that of the call which waited for it.
   *
   * @param exchange The call.
   * @param at The server or the instance that the call was sent to.
   * @param answer The answer, and why it is not that of the call.
   */
  recordMismatch(
    exchange: Exchange,
    at: BackendId | InstanceId,
    { reason, status }: MismatchedAnswer,
  ): void {
    const service = exchange.service.name;
    this.#parts.metrics.count("call.mismatched_answers", 1, {
      service,
      reason,
    });
    this.log(exchange, "answer not believed", { at, status, reason });
  }

  /** Logs a call whose connection closed before all of its answer was sent. */
  #logClosed(exchange: Exchange, isAnswered: boolean): void {
    const { progress, sentTo, sink } = exchange;
    this.log(exchange, "connection closed within the call", {
      reason: String(sink.signal.reason),
      hasBegun: progress.hasBegun,
      isAnswered,
      ...(sentTo.length > 0 ? { at: sentTo.at(-1)! } : {}),
    });
  }

  #passHeldAnswer(
    exchange: Exchange,
    { head, body, trailers }: NonNullable<Exchange["heldAnswer"]>,
  ): void {
    const { sink } = exchange;
    sink.begin(this.toPassedHead(exchange, head));
    sink.write(body);
    sink.end(trailers);
  }

  #createHopHeaders(
    call: OpaqueCall,
    answer: Omit<HopAnswer, "sendId" | "servedMs">,
  ): readonly string[] {
    if (call.origin.kind === "caller") return [];
    const servedMs = this.#parts.clock.nowMs() - call.receivedMs;
    const { sendId } = call.origin.hop;
    return writeHopAnswer({ ...answer, sendId, servedMs });
  }
}
