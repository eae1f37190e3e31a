import { type Clock, scheduleAfterReading } from "../clock/mod.ts";
import type { AnswerFacts, CallGrammar, RawHeaders } from "./call_grammar.ts";
import { EventFramer } from "./event_framer.ts";
import { isHopHeader, readHopAnswer } from "./hop_headers.ts";
import { pickForwarded } from "./http_headers.ts";
import type { Offer, OfferEvents } from "./offer.ts";
import type { CallSink } from "./opaque_call.ts";
import type {
  ActiveSend,
  AnswerHead,
  SendEvents,
  SendFailure,
  SendRequest,
  ServerClient,
} from "./server_client.ts";

/** How one send of a call ended. */
export type AttemptOutcome =
  /** The whole answer went to the caller. */
  | { readonly kind: "answered"; readonly status: number }
  /** The server's own failure, held back, since the call may be sent once more. */
  | { readonly kind: "failed"; readonly answer: HeldAnswer }
  /** No byte of the call left. */
  | { readonly kind: "not-sent"; readonly message: string }
  /** The server, or another instance for it, says that it did not run the call. */
  | {
    readonly kind: "rejected";
    readonly isOtherServer: boolean;
    /** How long the server wants nothing from this instance, in milliseconds. Default: it does not say. */
    readonly restMs?: number | undefined;
    /** Servers that refused it. */
    readonly sends: number;
  }
  /** The call may have run; nothing of an answer went to the caller. */
  | (LostAnswer & { readonly kind: "no-answer" })
  /** Part of the answer went to the caller. */
  | (LostAnswer & { readonly kind: "broken" })
  /** The caller went away, or the time ran out; the send was given up. */
  | { readonly kind: "given-up" }
  /** Another place has the call; `left` is how it ended here. */
  | {
    readonly kind: "handed-over";
    readonly left: EndedOutcome;
    readonly offer: Offer;
  };

/** Why there is no whole answer. */
interface LostAnswer {
  readonly message: string;
  /** Whether the other side ended the connection within the call. Default: no. */
  readonly isClosed?: boolean;
}

/** How a send ended that no other place took over. */
export type EndedOutcome = Exclude<
  AttemptOutcome,
  { readonly kind: "handed-over" }
>;

/** An answer that was read in full and not passed on. */
export interface HeldAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly trailers: RawHeaders;
}

/** What an answer that spans several sends has passed on so far. */
export interface StreamProgress {
  hasBegun: boolean;
  lastEventId: string | undefined;
}

/** One send and what may be done with its answer. */
export interface AttemptParts {
  readonly client: ServerClient;
  readonly grammar: CallGrammar;
  readonly sink: CallSink;
  readonly request: SendRequest;
  readonly callId: string;
  /** Whether the answer of another instance is awaited, which may be its refusal. */
  readonly isHop: boolean;
  /** Whether the server's failures are held back in place of passed on. */
  readonly holdsFailures: boolean;
  /** Whether only whole events are passed on, so that a stream can be resumed. */
  readonly framesEvents: boolean;
  readonly progress: StreamProgress;
  /** Returns headers to add to an answer that is passed on. Default: none. */
  readonly createMarks?: () => readonly string[];
  /** Called with the headers of the answer. */
  readonly onHeaders?: (headers: RawHeaders) => void;
  /** Called with what a server's head says, whatever comes of the call. Default: nothing. */
  readonly onFacts?: (facts: AnswerFacts) => void;
  /** Called at each part of the answer. Default: nothing. */
  readonly onHeard?: () => void;
  /** Called at the first byte of the answer's body, or at its end. */
  readonly onFirstByte: () => void;
  /** Gives the send up. */
  readonly signal: AbortSignal;
  /**
   * Silence before the first byte after which the call is offered elsewhere, in
   * milliseconds. Default: it is waited for as long as the call has time.
   */
  readonly patienceMs?: number | undefined;
  /**
   * Whether the server is probably gone, though its connection is open. Asked
   * now and then while the call runs. Default: never.
   */
  readonly isServerGone?: (() => boolean) | undefined;
  /** Offers the call to another place; `undefined`: there is none now. */
  readonly offerElsewhere: (events: OfferEvents) => Offer | undefined;
  /** Called before anything of an answer is passed on. Default: nothing. */
  readonly onTaken?: (() => void) | undefined;
  readonly clock: Clock;
}

/** Pause between looks whether the server is silent, in milliseconds: a fraction of the silence that counts. */
const SILENCE_CHECK_MS = 250;

const LEAST_FAILURE_STATUS = 500;
/** Statuses by which a gateway promises that a call has not run. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Largest failure that is held back, in bytes; a larger one is cut off. */
const MAX_HELD_BYTES = 65_536;

/**
 * Sends a call once and passes the answer on as it arrives.
 *
 * @param parts The send, its answer's way and what may be held back.
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
  readonly #framer: EventFramer | undefined;
  readonly #ended = new AbortController();
  readonly #giveUp = () => this.#finish({ kind: "given-up" }, true);
  #send: ActiveSend | undefined;
  #offer: Offer | undefined;
  #isPatienceOver = false;
  #isCheckDue = false;
  #head: AnswerHead | undefined;
  #held: Buffer[] | undefined;
  #heldBytes = 0;
  #hasFirstByte = false;
  #isFinished = false;
  #hasPassedBytes = false;

  constructor(
    parts: AttemptParts,
    resolve: (outcome: AttemptOutcome) => void,
  ) {
    this.#parts = parts;
    this.#resolve = resolve;
    this.#framer = parts.framesEvents ? new EventFramer() : undefined;
  }

  start(): void {
    const { client, clock, patienceMs, request, signal } = this.#parts;
    if (signal.aborted) {
      this.#finish({ kind: "given-up" });
      return;
    }
    signal.addEventListener("abort", this.#giveUp, { once: true });
    if (patienceMs !== undefined) {
      scheduleAfterReading(clock, patienceMs, () => {
        this.#isPatienceOver = true;
        this.#checkSilence();
      }, this.#ended.signal);
    }
    this.#checkSilenceLater();
    this.#send = client.send(request, this);
    if (this.#isFinished) this.#send.abort();
  }

  onHead(head: AnswerHead): void {
    if (this.#isFinished) return;
    this.#parts.onHeard?.();
    const { callId, grammar, holdsFailures, isHop } = this.#parts;
    this.#parts.onHeaders?.(head.headers);
    const facts = grammar.readAnswer(head.status, head.headers);
    this.#parts.onFacts?.(facts);
    const hopAnswer = isHop ? readHopAnswer(head.headers) : undefined;
    if (hopAnswer?.kind === "not-run") {
      this.#finish({
        kind: "rejected",
        isOtherServer: false,
        sends: hopAnswer.tried.length,
      });
      return;
    }
    if (hopAnswer?.kind === "unknown") {
      this.#finish({
        kind: "no-answer",
        message: "The other instance got no answer",
      });
      return;
    }
    if (facts.callId !== undefined && facts.callId !== callId) {
      this.#loseAnswer(`The answer belongs to call "${facts.callId}"`);
      return;
    }
    if (facts.isNotExecuted || facts.isOtherServer) {
      // The body of a rejection is short: reading it keeps the connection.
      this.#finish({
        kind: "rejected",
        isOtherServer: facts.isOtherServer,
        restMs: facts.restMs,
        sends: 1,
      });
      return;
    }
    if (PROMISING_STATUSES.has(head.status)) {
      this.#loseAnswer(
        `The server answered ${head.status} without saying that it did not run the call`,
      );
      return;
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && (!facts.isSigned || facts.isCoded)) {
      this.#loseAnswer("The answer is not the server's own");
      return;
    }
    this.#head = head;
    const isFailure = head.status >= LEAST_FAILURE_STATUS;
    // An answer that has begun goes on with nothing but a success.
    const isHeld = this.#parts.progress.hasBegun
      ? !isSuccess
      : isFailure && holdsFailures;
    if (isHeld) this.#held = [];
    else this.#keepAnswer();
  }

  onData(chunk: Buffer): boolean {
    if (this.#isFinished) return true;
    this.#parts.onHeard?.();
    this.#noteFirstByte();
    this.#takeOfferBack();
    if (this.#held !== undefined) {
      this.#heldBytes += chunk.length;
      if (this.#heldBytes <= MAX_HELD_BYTES) this.#held.push(chunk);
      return true;
    }
    if (this.#framer === undefined) return this.#pass(chunk);
    const events = this.#framer.push(chunk);
    if (events.length === 0) return true;
    const lastId = events.findLast(({ id }) => id !== undefined)?.id;
    const hasRoom = this.#pass(Buffer.concat(events.map(({ bytes }) => bytes)));
    this.#parts.progress.lastEventId = lastId ??
      this.#parts.progress.lastEventId;
    return hasRoom;
  }

  onEnd(trailers: RawHeaders): void {
    if (this.#isFinished) return;
    this.#noteFirstByte();
    if (this.#held !== undefined) {
      const body = Buffer.concat(this.#held);
      const answer = { head: this.#head!, body, trailers };
      this.#finish({ kind: "failed", answer });
      return;
    }
    if (this.#framer !== undefined && this.#framer.rest.length > 0) {
      this.#pass(this.#framer.rest);
    }
    this.#begin();
    this.#parts.sink.end(trailers);
    this.#finish({ kind: "answered", status: this.#head!.status });
  }

  onFailure(failure: SendFailure): void {
    if (this.#isFinished) return;
    const { message } = failure;
    if (failure.kind === "not-sent") {
      this.#finish({ kind: "not-sent", message });
      return;
    }
    const kind = this.#hasPassedBytes ? "broken" : "no-answer";
    this.#finish({ kind, message, isClosed: failure.kind === "closed" });
  }

  /** Whether the first byte takes longer than it should. */
  get #isLate(): boolean {
    return this.#isPatienceOver && !this.#hasFirstByte;
  }

  #checkSilenceLater(): void {
    // A send that nothing is to be learned of wakes the process for nothing.
    const isWatched = this.#parts.isServerGone !== undefined || this.#isLate;
    if (this.#isCheckDue || !isWatched) return;
    this.#isCheckDue = true;
    scheduleAfterReading(this.#parts.clock, SILENCE_CHECK_MS, () => {
      this.#isCheckDue = false;
      this.#checkSilence();
    }, this.#ended.signal);
  }

  /**
   * Offers the call elsewhere where this server is silent. The send goes on until
   * another place has the call: a server that pauses for a second with answers
   * under way looks like one that is gone.
   */
  #checkSilence(): void {
    if (this.#isFinished || this.#offer !== undefined) return;
    if (this.#isLate || this.#parts.isServerGone?.()) {
      this.#offer = this.#parts.offerElsewhere({
        onTaken: () => this.#loseAnswer("The server is silent"),
        onRefused: () => {
          this.#offer = undefined;
          this.#checkSilenceLater();
        },
      });
    }
    if (this.#offer === undefined) this.#checkSilenceLater();
  }

  /** This server answers: whoever else was offered the call is to stop. */
  #takeOfferBack(): void {
    if (this.#offer === undefined) return;
    this.#offer.withdraw();
    this.#offer = undefined;
    this.#checkSilenceLater();
  }

  #keepAnswer(): void {
    this.#takeOfferBack();
    this.#parts.onTaken?.();
  }

  /** Drops the connection: what follows on it cannot be trusted. */
  #loseAnswer(message: string): void {
    const kind = this.#hasPassedBytes ? "broken" : "no-answer";
    this.#finish({ kind, message }, true);
  }

  #noteFirstByte(): void {
    if (this.#hasFirstByte) return;
    this.#hasFirstByte = true;
    this.#parts.onFirstByte();
  }

  #pass(chunk: Buffer): boolean {
    this.#begin();
    this.#hasPassedBytes = true;
    const { sink } = this.#parts;
    const hasRoom = sink.write(chunk);
    if (!hasRoom) sink.onDrain(() => this.#send?.resume());
    return hasRoom;
  }

  #begin(): void {
    const { progress, sink } = this.#parts;
    if (progress.hasBegun) return;
    progress.hasBegun = true;
    const kept = pickForwarded(
      this.#head!.headers,
      (name) => isHopHeader(name) ? "never" : "unless-named",
    );
    const marks = this.#parts.createMarks?.() ?? [];
    sink.begin({ ...this.#head!, headers: [...kept, ...marks] });
  }

  #finish(outcome: EndedOutcome, isAborted = false): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#ended.abort("finished");
    this.#parts.signal.removeEventListener("abort", this.#giveUp);
    if (isAborted) this.#send?.abort();
    this.#resolve(this.#settleOffer(outcome));
  }

  /** An offer under way goes on without this send, unless the answer is whole or nobody waits. */
  #settleOffer(outcome: EndedOutcome): AttemptOutcome {
    const offer = this.#offer;
    if (offer === undefined) return outcome;
    if (outcome.kind === "answered" || outcome.kind === "given-up") {
      offer.withdraw();
      return outcome;
    }
    offer.release();
    return { kind: "handed-over", left: outcome, offer };
  }
}
