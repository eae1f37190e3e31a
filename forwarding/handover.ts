import { type Clock, scheduleAfterReading } from "../clock/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./attempt_outcome.ts";
import type { SendDestination } from "./settle_attempt.ts";

/**
 * How a handover ended:
 *
 * - `answered`: the second destination answers.
 * - `taken`: the second destination delivers nothing in time, but runs the call, or the first
 *   one is lost.
 * - `not-taken`: the second destination delivers nothing in time, and may not have the call.
 * - `refused`: the second destination does not run the call, or gives no answer.
 * - `first-answered`: the first destination answers after all.
 * - `first-ended`: the first destination has ended the call without an answer.
 * - `given-up`: the caller has left, or the deadline has passed.
 */
export type HandoverEnd =
  | "answered"
  | "taken"
  | "not-taken"
  | "refused"
  | "first-answered"
  | "first-ended"
  | "given-up";

/** Why the second send is cancelled, unless it ends by itself. */
type CancelReason = Extract<
  HandoverEnd,
  "not-taken" | "first-answered" | "given-up"
>;

/** Notified once of how a handover ended. */
export interface HandoverEvents {
  /** The second destination has the call; the send to the first one must stop. */
  readonly onHandedOver: (handover: Handover) => void;
  /** The second destination does not have the call; the first one keeps it. */
  readonly onRefused: () => void;
}

/** How to send a call to the second destination. */
export interface HandoverParts {
  readonly clock: Clock;
  readonly target: SendDestination;
  /** Time for which both destinations may have the call, in milliseconds. Default: unlimited. */
  readonly overlapMs?: number | undefined;
  /** Returns whether the first destination is lost, so that nothing is gained by keeping its send. */
  readonly isFirstLost: () => boolean;
  /**
   * Sends the call. Calls `onAccepted` when the head of an answer shows that the call runs, and
   * `onDelivering` before any part of an answer is passed on.
   */
  readonly send: (
    options: {
      readonly signal: AbortSignal;
      readonly onAccepted: () => void;
      readonly onDelivering: () => void;
    },
  ) => Promise<AttemptOutcome>;
  /** Settles a send that ended before the call was handed over. */
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
  readonly #isFirstLost: HandoverParts["isFirstLost"];
  readonly #cancelled = new AbortController();
  readonly #decided = new AbortController();
  /** Whether the second destination runs the call. */
  #isAccepted = false;
  #cancelReason: CancelReason | undefined;

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
    this.#isFirstLost = parts.isFirstLost;
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
      onAccepted: () => (this.#isAccepted = true),
      onDelivering: () => this.#handOver("answered"),
    });
    void this.outcome.then((outcome) => this.#end(outcome));
  }

  /** Cancels the second send, which is not needed any more; the handover ends when it has ended. */
  cancel(reason: CancelReason): void {
    this.#cancelReason ??= reason;
    this.#cancelled.abort("cancelled");
  }

  /** Leaves the call with the second destination, whatever its outcome; no event follows. */
  commit(): void {
    if (!this.#decided.signal.aborted) this.#onEnd?.("first-ended");
    this.#decided.abort("committed");
  }

  #endOverlap(): void {
    if (this.#isAccepted || this.#isFirstLost()) this.#handOver("taken");
    else this.cancel("not-taken");
  }

  #handOver(end: "answered" | "taken"): void {
    if (this.#decided.signal.aborted || this.#cancelled.signal.aborted) return;
    this.#decided.abort("handed over");
    this.#onEnd?.(end);
    this.#events.onHandedOver(this);
  }

  #end(outcome: AttemptOutcome): void {
    // A send can only hand over a call that was handed over to it, which is decided already.
    if (outcome.kind === "handed-over" || this.#decided.signal.aborted) return;
    this.#decided.abort("ended");
    this.#settle(outcome);
    const end = this.#cancelReason ?? "refused";
    this.#onEnd?.(end);
    if (end === "refused" || end === "not-taken") this.#events.onRefused();
  }
}
