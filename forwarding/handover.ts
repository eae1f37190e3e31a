import { type Clock, scheduleAfterReading } from "../clock/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./run_attempt.ts";
import type { SendDestination } from "./settle_attempt.ts";

/**
 * Time in milliseconds after which a second destination counts as having accepted a call,
 * if it has neither answered nor refused it. A full server refuses within one round trip,
 * which takes 110 to 160 ms between regions. Two servers must not work on one stream for
 * 400 ms, and timers of a busy process fire 100 ms late or more.
 */
const ACCEPTED_AFTER_MS = 200;

/**
 * How a handover ended:
 *
 * - `answered`: the second destination answers.
 * - `assumed`: the second destination has not refused the call in time.
 * - `refused`: the second destination does not run the call, or gives no answer.
 * - `first-answered`: the first destination answers after all.
 * - `first-ended`: the first destination has ended the call without an answer.
 */
export type HandoverEnd =
  | "answered"
  | "assumed"
  | "refused"
  | "first-answered"
  | "first-ended";

/** Notified once of how a handover ended. */
export interface HandoverEvents {
  /** The second destination has accepted the call; the send to the first one must stop. */
  readonly onAccepted: (handover: Handover) => void;
  /** The second destination did not accept the call; the first one keeps it. */
  readonly onRefused: () => void;
}

/** How to send a call to the second destination. */
export interface HandoverParts {
  readonly clock: Clock;
  readonly target: SendDestination;
  /** Sends the call, and calls `onAccepted` before any part of an answer is passed on. */
  readonly send: (
    options: { readonly signal: AbortSignal; readonly onAccepted: () => void },
  ) => Promise<AttemptOutcome>;
  /** Settles a send that ended before the second destination accepted the call. */
  readonly settle: (outcome: EndedOutcome) => void;
  /** Called once with how the handover ended. Default: nothing. */
  readonly onEnd?: (end: HandoverEnd) => void;
}

/**
 * A call that is sent to a second destination while the first one still has it. A stalled
 * server looks like a dead one. If the first send were aborted before another server has
 * the call, the caller would lose an answer that was merely slow.
 */
export class Handover {
  readonly target: SendDestination;
  /** How the second send ended. */
  readonly outcome: Promise<AttemptOutcome>;
  readonly #events: HandoverEvents;
  readonly #settle: HandoverParts["settle"];
  readonly #onEnd: HandoverParts["onEnd"];
  readonly #cancelled = new AbortController();
  readonly #decided = new AbortController();

  /**
   * Sends the call to the second destination.
   *
   * @param parts The destination, and how to send and settle the call.
   * @param events Notified of how the handover ended.
   */
  constructor(parts: HandoverParts, events: HandoverEvents) {
    this.target = parts.target;
    this.#events = events;
    this.#settle = parts.settle;
    this.#onEnd = parts.onEnd;
    scheduleAfterReading(
      parts.clock,
      ACCEPTED_AFTER_MS,
      () => this.#accept("assumed"),
      this.#decided.signal,
    );
    this.outcome = parts.send({
      signal: this.#cancelled.signal,
      onAccepted: () => this.#accept("answered"),
    });
    void this.outcome.then((outcome) => this.#end(outcome));
  }

  /** Cancels the second send, because the first destination answers after all. */
  cancel(): void {
    if (!this.#decided.signal.aborted) this.#onEnd?.("first-answered");
    this.#cancelled.abort("cancelled");
  }

  /** Leaves the call with the second destination, whatever its outcome; no event follows. */
  commit(): void {
    if (!this.#decided.signal.aborted) this.#onEnd?.("first-ended");
    this.#decided.abort("committed");
  }

  #accept(end: "answered" | "assumed"): void {
    if (this.#decided.signal.aborted || this.#cancelled.signal.aborted) return;
    this.#decided.abort("accepted");
    this.#onEnd?.(end);
    this.#events.onAccepted(this);
  }

  #end(outcome: AttemptOutcome): void {
    // A send can only hand over a call that it has accepted, which is decided already.
    if (outcome.kind === "handed-over" || this.#decided.signal.aborted) return;
    this.#decided.abort("ended");
    this.#settle(outcome);
    if (this.#cancelled.signal.aborted) return;
    this.#onEnd?.("refused");
    this.#events.onRefused();
  }
}
