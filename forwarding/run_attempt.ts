import { ByteCollector } from "../bytes/mod.ts";
import {
  Cancellation,
  type Clock,
  scheduleAfterReading,
} from "../clock/mod.ts";
import type { SendId, ServerVersion } from "../ids/mod.ts";
import type { AnswerFraming } from "./answer_framing.ts";
import type {
  AttemptOutcome,
  EndedOutcome,
  IncompleteAnswer,
} from "./attempt_outcome.ts";
import type {
  AnswerFacts,
  CallHeaderCodec,
  RawHeaders,
} from "./call_header_codec.ts";
import { checkAnswerHead, type MismatchReason } from "./check_answer_head.ts";
import { EventFramer, type FramedEvent } from "./event_framer.ts";
import { EventScanner, isEventStart } from "./event_scanner.ts";
import type { StreamHandling } from "./exchange.ts";
import { type HopAnswer, readHopAnswer } from "./hop_headers.ts";
import { pickForwarded, readHeader } from "./http_headers.ts";
import type { Handover, HandoverEvents } from "./handover.ts";
import type { CallSink } from "./opaque_call.ts";
import type {
  ActiveSend,
  AnswerHead,
  SendEvents,
  SendFailure,
  SendRequest,
  ServerClient,
} from "./server_client.ts";

/** How the body of an answer ended that was passed on or held back. */
export interface AnswerEnd {
  /** How the end of the body is told. */
  readonly framing: AnswerFraming;
  /** `inside-event`: an event stream that is framed as complete and stops within an event. */
  readonly how: "whole" | "inside-event" | "broken";
}

/** How much of the answer has been passed on so far, over all sends of the call. */
export interface StreamProgress {
  /** Whether the head of the answer was passed on. */
  hasBegun: boolean;
  /** How the caller is told the end of the answer; `undefined` before its head. */
  framing?: AnswerFraming;
  /** Version of the server that began the answer, where versions have an effect. */
  version?: ServerVersion | undefined;
  /** Id of the last event that was passed on, or that the caller had before. */
  lastEventId: string | undefined;
}

/** An answer that was not taken for that of the call which waited for it. */
export interface MismatchedAnswer {
  readonly status: number;
  readonly reason: MismatchReason;
}

/** Inputs of {@linkcode runAttempt}: one send, and how its answer is handled. */
export interface AttemptParts {
  readonly client: ServerClient;
  readonly headerCodec: CallHeaderCodec;
  readonly sink: CallSink;
  readonly request: SendRequest;
  /** Id of a send to another instance, which may itself refuse the call. Default: it goes to a server. */
  readonly hopSendId?: SendId;
  /** Whether failures of the server are held back instead of passed on. */
  readonly holdsFailures: boolean;
  readonly streams: StreamHandling;
  readonly progress: StreamProgress;
  /** Returns the head with which an answer is passed on. */
  readonly toPassedHead: (head: AnswerHead) => AnswerHead;
  /** Called with what the other instance says of its answer to this send. Default: nothing. */
  readonly onHopAnswer?: (answer: HopAnswer) => void;
  /** Called with the facts in the answer's head, even if the answer is not used. Default: nothing. */
  readonly onFacts?: (facts: AnswerFacts) => void;
  /** Called with an answer that is not that of the call. Default: nothing. */
  readonly onMismatch?: (answer: MismatchedAnswer) => void;
  /** Called when the body of the answer has ended. Default: nothing. */
  readonly onAnswerEnd?: (end: AnswerEnd) => void;
  /** Called for each part of the answer that arrives. Default: nothing. */
  readonly onActivity?: () => void;
  /** Called once, at the first byte of the answer's body or at the end of an answer without one. */
  readonly onFirstByte: () => void;
  /** Aborts the send. */
  readonly signal: AbortSignal;
  /**
   * Time without a first byte after which the call is handed over to another destination,
   * in milliseconds. Default: the send waits until the deadline of the call.
   */
  readonly firstByteTimeoutMs?: number | undefined;
  /**
   * Returns whether the server is probably dead although its connection is open. Checked
   * periodically while the call runs. Default: never.
   */
  readonly isServerDead?: (() => boolean) | undefined;
  /** Starts a handover to a second destination. Returns `undefined` if there is none now. */
  readonly startHandover: (events: HandoverEvents) => Handover | undefined;
  /** Called when the head shows that the call runs. Default: nothing. */
  readonly onAccepted?: (() => void) | undefined;
  /** Called each time before a part of the answer is passed on. Default: nothing. */
  readonly onDelivering?: (() => void) | undefined;
  /** Called when the answer is not read on until the caller has read more. Default: nothing. */
  readonly onPause?: (() => void) | undefined;
  /** Called when the answer is read on after a pause. Default: nothing. */
  readonly onResume?: (() => void) | undefined;
  readonly clock: Clock;
}

/** Interval of checks for a silent server, in milliseconds: a fraction of the detected silence. */
const SILENCE_CHECK_INTERVAL_MS = 250;

const EVENT_STREAM_TYPE = "text/event-stream";
const MIN_FAILURE_STATUS = 500;
/** Maximum body of a failure that is held back, in bytes; one with a longer body is no answer. */
const MAX_HELD_BYTES = 65_536;
/** Maximum time to read the body of a failure that is held back, in milliseconds. */
const MAX_HOLD_MS = 1_000;
/** Maximum size of an event that is passed on only once it is complete, or of what is between two, in bytes. */
const MAX_EVENT_BYTES = 4_194_304;

/**
 * Sends a call once and passes on the answer as it arrives.
 *
 * @param parts The send, and how its answer is handled.
 * @returns How the send ended.
 */
export function runAttempt(parts: AttemptParts): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    const attempt = new Attempt(parts, resolve);
    attempt.start();
  });
}

class Attempt implements SendEvents {
  readonly #parts: AttemptParts;
  readonly #resolve: (outcome: AttemptOutcome) => void;
  /** Finds the ends of a stream's events; `undefined` if the answer is no stream. */
  #events: EventFramer | EventScanner | undefined;
  /** Whether the first bytes decide if the answer is a stream, as its type is missing. */
  #mustDetectEvents = false;
  readonly #ended = new Cancellation();
  readonly #giveUp = () => this.#finish({ kind: "given-up" }, true);
  #send: ActiveSend | undefined;
  #handover: Handover | undefined;
  #isTimeoutOver = false;
  #isCheckScheduled = false;
  #head: AnswerHead | undefined;
  /** Body of a failure that is held back. */
  #held: ByteCollector | undefined;
  #hasFirstByte = false;
  #isFinished = false;
  #hasPassedBytes = false;
  /** Whether the answer is not read until the caller has read more. */
  #isPaused = false;

  constructor(
    parts: AttemptParts,
    resolve: (outcome: AttemptOutcome) => void,
  ) {
    this.#parts = parts;
    this.#resolve = resolve;
  }

  start(): void {
    const { client, clock, firstByteTimeoutMs, request, signal } = this.#parts;
    if (signal.aborted) {
      this.#finish({ kind: "given-up" });
      return;
    }
    signal.addEventListener("abort", this.#giveUp, { once: true });
    if (firstByteTimeoutMs !== undefined) {
      scheduleAfterReading(clock, firstByteTimeoutMs, () => {
        this.#isTimeoutOver = true;
        this.#checkSilence();
      }, this.#ended);
    }
    this.#scheduleSilenceCheck();
    this.#send = client.send(request, this);
    if (this.#isFinished) this.#send.abort();
  }

  onHead(head: AnswerHead): void {
    if (this.#isFinished) return;
    this.#parts.onActivity?.();
    const { headerCodec, hopSendId, request: { callId } } = this.#parts;
    const facts = headerCodec.readAnswer(head.status, head.headers);
    this.#parts.onFacts?.(facts);
    const { headers, status } = head;
    const hop = hopSendId === undefined
      ? undefined
      : { sendId: hopSendId, answer: readHopAnswer(headers) };
    const verdict = checkAnswerHead({ callId, facts, hop, status });
    const isOfOtherSend = verdict.kind === "mismatch" &&
      verdict.reason === "names-another-send";
    if (!isOfOtherSend && hop?.answer !== undefined) {
      this.#parts.onHopAnswer?.(hop.answer);
    }
    switch (verdict.kind) {
      case "matches":
        this.#beginAnswer(head, hop?.answer);
        return;
      case "not-run":
        this.#send?.excludeCall?.();
        this.#finish(verdict.rejection);
        return;
      case "unknown":
        this.#finish({ kind: "no-answer", message: verdict.message });
        return;
      case "mismatch":
        this.#parts.onMismatch?.({ status, reason: verdict.reason });
        this.#abortAnswer(verdict.message);
        return;
      default:
        verdict satisfies never;
    }
  }

  /** Holds back or passes on an answer whose head has arrived. */
  #beginAnswer(head: AnswerHead, hopAnswer: HopAnswer | undefined): void {
    const { holdsFailures } = this.#parts;
    const isSuccess = head.status >= 200 && head.status < 300;
    this.#head = hopAnswer?.endsWithConnection
      ? { ...head, framing: "connection" }
      : head;
    const isFailure = head.status >= MIN_FAILURE_STATUS;
    // An answer that has begun can only be continued by a success.
    const isHeld = this.#parts.progress.hasBegun
      ? !isSuccess
      : isFailure && holdsFailures;
    if (isHeld) {
      this.#held = new ByteCollector();
      scheduleAfterReading(this.#parts.clock, MAX_HOLD_MS, () => {
        this.#abortAnswer(
          `The body of status ${head.status} took over ${MAX_HOLD_MS} ms`,
        );
      }, this.#ended);
      return;
    }
    const type = readHeader(head.headers, "content-type");
    this.#mustDetectEvents = type === undefined && isSuccess &&
      this.#parts.streams.isStream;
    const canContinue = this.#mustDetectEvents ||
      this.#setEvents(isEventStream(type));
    if (canContinue) this.#parts.onAccepted?.();
  }

  onData(chunk: Buffer): boolean {
    if (this.#isFinished) return true;
    this.#parts.onActivity?.();
    this.#recordFirstByte();
    if (this.#held !== undefined) {
      this.#held.append(chunk);
      if (this.#held.size > MAX_HELD_BYTES) {
        this.#abortAnswer(
          `The server failed with status ${
            this.#head!.status
          } and a body over ${MAX_HELD_BYTES} bytes`,
        );
      }
      return true;
    }
    this.#cancelHandover();
    if (this.#mustDetectEvents) {
      this.#mustDetectEvents = false;
      if (!this.#setEvents(isEventStart(chunk))) return true;
    }
    if (this.#events instanceof EventFramer) {
      const canContinue = this.#passOnEvents(this.#events.push(chunk));
      if (this.#events.pendingSize > MAX_EVENT_BYTES) {
        this.#abortAnswer(`An event is over ${MAX_EVENT_BYTES} bytes`);
      }
      this.#limitIdleBytes();
      return canContinue;
    }
    this.#events?.scan(chunk);
    const canContinue = this.#passOn(chunk);
    this.#limitIdleBytes();
    return canContinue;
  }

  /** Ends a stream that goes on with comments and blank lines only. */
  #limitIdleBytes(): void {
    if ((this.#events?.idleSize ?? 0) <= MAX_EVENT_BYTES) return;
    this.#abortAnswer(`Over ${MAX_EVENT_BYTES} bytes without an event`);
  }

  /**
   * Sets whether the answer is an event stream. Returns `false` if the attempt has ended because
   * a stream that has begun cannot be continued by an answer of another kind.
   */
  #setEvents(isStream: boolean): boolean {
    const { progress, streams } = this.#parts;
    if (!isStream && progress.hasBegun) {
      this.#abortAnswer("The answer that should continue a stream is none");
      return false;
    }
    if (!isStream) return true;
    // With the last byte of its length, an answer is complete for its caller.
    this.#events = streams.framesEvents || this.#framing === "length"
      ? new EventFramer()
      : new EventScanner();
    return true;
  }

  /** Passes on whole events, and remembers the last id, after which the stream can be resumed. */
  #passOnEvents(events: readonly FramedEvent[]): boolean {
    if (events.length === 0) return true;
    const lastId = events.findLast(({ id }) => id !== undefined)?.id;
    const canContinue = this.#passOn(
      events.length === 1
        ? events[0]!.bytes
        : Buffer.concat(events.map(({ bytes }) => bytes)),
    );
    this.#parts.progress.lastEventId = lastId ??
      this.#parts.progress.lastEventId;
    return canContinue;
  }

  onEnd(trailers: RawHeaders): void {
    if (this.#isFinished) return;
    this.#recordFirstByte();
    const isCut = this.#events?.isInsideEvent ?? false;
    this.#reportEnd(isCut ? "inside-event" : "whole");
    if (this.#held !== undefined) {
      const body = this.#held.take();
      const answer = { head: this.#head!, body, trailers };
      this.#finish({ kind: "failed", answer });
      return;
    }
    if (isCut) {
      this.#finishIncomplete({
        message: `The stream ended within an event, framing ${this.#framing}`,
        isClosed: this.#framing === "connection",
      });
      return;
    }
    if (this.#isEndUnprovable) {
      const message = "The rest of the stream ends only with its connection";
      this.#finishIncomplete({ message });
      return;
    }
    // Only comments and blank lines are left.
    if (this.#events instanceof EventFramer && this.#events.pendingSize > 0) {
      this.#passOn(this.#events.takePending());
    }
    this.#begin();
    this.#parts.sink.end(trailers);
    this.#finish({ kind: "answered", status: this.#head!.status });
  }

  onFailure(failure: SendFailure): void {
    if (this.#isFinished) return;
    const { isOwnLimit, message } = failure;
    if (this.#head !== undefined) this.#reportEnd("broken");
    if (failure.kind === "not-sent") {
      this.#finish({ kind: "not-sent", message, isOwnLimit });
      return;
    }
    this.#finishIncomplete({ message, isClosed: failure.kind === "closed" });
  }

  /** Whether the first byte has not arrived within its timeout. */
  get #isFirstByteLate(): boolean {
    return this.#isTimeoutOver && !this.#hasFirstByte;
  }

  get #isSilent(): boolean {
    if (this.#isPaused) return false;
    return this.#isFirstByteLate || (this.#parts.isServerDead?.() ?? false);
  }

  #reportEnd(how: AnswerEnd["how"]): void {
    this.#parts.onAnswerEnd?.({ framing: this.#framing, how });
  }

  get #framing(): AnswerFraming {
    return this.#head?.framing ?? "length";
  }

  /** Whether the caller would be told that an answer is complete which may have been cut. */
  get #isEndUnprovable(): boolean {
    const { progress } = this.#parts;
    return this.#framing === "connection" && progress.hasBegun &&
      progress.framing !== "connection";
  }

  #scheduleSilenceCheck(): void {
    // Without a reason to check, a timer would only wake the process.
    const isWatched = this.#parts.isServerDead !== undefined ||
      this.#isFirstByteLate;
    if (this.#isCheckScheduled || !isWatched) return;
    this.#isCheckScheduled = true;
    scheduleAfterReading(this.#parts.clock, SILENCE_CHECK_INTERVAL_MS, () => {
      this.#isCheckScheduled = false;
      this.#checkSilence();
    }, this.#ended);
  }

  /**
   * Starts a handover if the server is silent. The send continues until another destination
   * has the call: a server that stalls for a second while it streams answers looks like a
   * dead one.
   */
  #checkSilence(): void {
    if (this.#isFinished || this.#handover !== undefined) return;
    if (this.#isSilent) {
      this.#handover = this.#parts.startHandover({
        onHandedOver: () => this.#abortAnswer("The server is silent"),
        onRefused: () => {
          this.#handover = undefined;
          this.#scheduleSilenceCheck();
        },
      });
    }
    if (this.#handover === undefined) this.#scheduleSilenceCheck();
  }

  /** Cancels the handover, because the server of this send answers. */
  #cancelHandover(): void {
    if (this.#handover === undefined) return;
    this.#handover.cancel("first-answered");
    this.#handover = undefined;
    this.#scheduleSilenceCheck();
  }

  /** Ends the attempt and closes the connection, whose further data cannot be trusted. */
  #abortAnswer(message: string): void {
    this.#finishIncomplete({ message }, true);
  }

  #finishIncomplete(answer: IncompleteAnswer, isAborted = false): void {
    const kind = this.#hasPassedBytes ? "broken" : "no-answer";
    this.#finish({ kind, ...answer }, isAborted);
  }

  #recordFirstByte(): void {
    if (this.#hasFirstByte) return;
    this.#hasFirstByte = true;
    this.#parts.onFirstByte();
  }

  #passOn(chunk: Buffer): boolean {
    this.#begin();
    this.#hasPassedBytes = true;
    const { sink } = this.#parts;
    const canContinue = sink.write(chunk);
    if (!canContinue) this.#pause();
    return canContinue;
  }

  /** Stops to read the answer until the caller has read more. */
  #pause(): void {
    if (this.#isPaused) return;
    const { onPause, onResume, sink } = this.#parts;
    this.#isPaused = true;
    onPause?.();
    sink.onDrain(() => {
      this.#isPaused = false;
      if (!this.#isFinished) onResume?.();
      this.#send?.resume();
    });
  }

  #begin(): void {
    const { onDelivering, progress, sink } = this.#parts;
    this.#cancelHandover();
    onDelivering?.();
    if (progress.hasBegun) return;
    progress.hasBegun = true;
    const head = this.#toResumableHead(this.#head!);
    progress.framing = head.framing ?? "length";
    sink.begin(this.#parts.toPassedHead(head));
  }

  /** Returns the head without the length if another server may send a rest of another length. */
  #toResumableHead(head: AnswerHead): AnswerHead {
    const mayBeResumed = this.#events instanceof EventFramer &&
      this.#parts.streams.framesEvents;
    if (!mayBeResumed || this.#framing !== "length") return head;
    const headers = pickForwarded(
      head.headers,
      (name) => name === "content-length" ? "never" : "unless-named",
    );
    return { ...head, headers, framing: "chunked" };
  }

  #finish(outcome: EndedOutcome, isAborted = false): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#ended.cancel();
    this.#parts.signal.removeEventListener("abort", this.#giveUp);
    if (isAborted) this.#send?.abort();
    else this.#send?.drain?.();
    this.#resolve(this.#settleHandover(outcome));
  }

  /** Leaves the call with a pending handover, unless the answer is complete or nobody waits for it. */
  #settleHandover(outcome: EndedOutcome): AttemptOutcome {
    const handover = this.#handover;
    if (handover === undefined) return outcome;
    if (outcome.kind === "answered" || outcome.kind === "given-up") {
      const isGivenUp = outcome.kind === "given-up";
      handover.cancel(isGivenUp ? "given-up" : "first-answered");
      return outcome;
    }
    handover.commit();
    return { kind: "handed-over", firstOutcome: outcome, handover };
  }
}

function isEventStream(contentType = ""): boolean {
  return contentType.trimStart().toLowerCase().startsWith(EVENT_STREAM_TYPE);
}
