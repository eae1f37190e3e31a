import { type Clock, scheduleAfterReading } from "../clock/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./run_attempt.ts";
import type { SendDestination } from "./settle_attempt.ts";

/**
 * How a handover ended:
 *
 * - `answered`: the second destination answers.
 * - `taken`: the second destination does not answer in time, but is known to have the call.
 * - `not-taken`: the second destination does not answer in time, and may not have the call.
 * - `refused`: the second destination does not run the call, or gives no answer.
 * - `first-answered`: the first destination answers after all.
 * - `first-ended`: the first destination has ended the call without an answer.
 */
export type HandoverEnd =
  | "answered"
  | "taken"
  | "not-taken"
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
  /** Time for which both destinations may have the call, in milliseconds. Default: unlimited. */
  readonly overlapMs?: number | undefined;
  /**
   * Returns whether the first destination may be left although the second one has not
   * answered, since it is known to have the call, or the first one is known to be lost.
   */
  readonly mayLeaveFirst: () => boolean;
  /** Sends the call, and calls `onDelivering` before any part of an answer is passed on. */
  readonly send: (
    options: {
      readonly signal: AbortSignal;
      readonly onDelivering: () => void;
    },
  ) => Promise<AttemptOutcome>;
  /** Settles a send that ended before the second destination accepted the call. */
  readonly settle: (outcome: EndedOutcome) => void;
  /** Called once with how the handover ended. Default: nothing. */
  readonly onEnd?: (end: HandoverEnd) => void;
}

/**
 * A call that is sent to a second destination while the first one still has it. A stalled
 * server looks like a dead one. If the first send were aborted before another server has
 * the call, the caller would lose an answer that was merely slow. Silence of the second
 * destination is no sign that it has the call: where both may not have it any longer, the
 * second send is withdrawn.
 */
export class Handover {
  readonly target: SendDestination;
  /** How the second send ended. */
  readonly outcome: Promise<AttemptOutcome>;
  readonly #events: HandoverEvents;
  readonly #settle: HandoverParts["settle"];
  readonly #onEnd: HandoverParts["onEnd"];
  readonly #mayLeaveFirst: HandoverParts["mayLeaveFirst"];
  readonly #cancelled = new AbortController();
  readonly #decided = new AbortController();
  /** Why the second send is cancelled, unless it ends by itself. */
  #cancelledAs: "not-taken" | "first-answered" | undefined;

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
    this.#mayLeaveFirst = parts.mayLeaveFirst;
    if (parts.overlapMs !== undefined) {
      scheduleAfterReading(
        parts.clock,
        parts.overlapMs,
        () => this.#endOverlap(),
        this.#decided.signal,
      );
    }
    this.outcome = parts.send({
      signal: this.#cancelled.signal,
      onDelivering: () => this.#accept("answered"),
    });
    void this.outcome.then((outcome) => this.#end(outcome));
  }

  /** Cancels the second send, because the first destination answers after all. */
  cancel(): void {
    this.#cancel("first-answered");
  }

  /** Leaves the call with the second destination, whatever its outcome; no event follows. */
  commit(): void {
    if (!this.#decided.signal.aborted) this.#onEnd?.("first-ended");
    this.#decided.abort("committed");
  }

  #endOverlap(): void {
    if (this.#mayLeaveFirst()) this.#accept("taken");
    else this.#cancel("not-taken");
  }

  #cancel(as: "not-taken" | "first-answered"): void {
    this.#cancelledAs ??= as;
    this.#cancelled.abort("cancelled");
  }

  #accept(end: "answered" | "taken"): void {
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
    const end = this.#cancelledAs ?? "refused";
    this.#onEnd?.(end);
    if (end !== "first-answered") this.#events.onRefused();
  }
}
