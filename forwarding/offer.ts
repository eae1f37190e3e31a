import { type Clock, scheduleAfterReading } from "../clock/mod.ts";
import type { AttemptOutcome, EndedOutcome } from "./run_attempt.ts";
import type { SentPlace } from "./settle_attempt.ts";

/**
 * Time after which a second place that has said nothing has taken a call on, in
 * milliseconds. A server that is full says so within a round trip, 110 to 160 ms
 * between regions; two servers must not work on one stream for 400 ms, and a busy
 * process is late by 100 ms and more.
 */
const TAKEN_AFTER_MS = 200;

/** Told how an offer went, once. */
export interface OfferEvents {
  /** The second place has the call: the first one is to stop. */
  readonly onTaken: (offer: Offer) => void;
  /** The second place did not take it: the first one keeps it. */
  readonly onRefused: () => void;
}

/** How to send a call to the second place. */
export interface OfferParts {
  readonly clock: Clock;
  readonly place: SentPlace;
  /**
   * Sends the call. It calls `onTaken` before it passes on anything of an answer.
   */
  readonly send: (
    options: { readonly signal: AbortSignal; readonly onTaken: () => void },
  ) => Promise<AttemptOutcome>;
  /** Settles a send that ended before it took the call on. */
  readonly settle: (outcome: EndedOutcome) => void;
}

/**
 * A call that is offered to a second place while the first one still has it. A
 * server that has paused looks like one that is gone; if its send were cut off
 * before another one has the call, a caller would lose an answer that was only slow.
 */
export class Offer {
  readonly place: SentPlace;
  /** How the second send ended. */
  readonly outcome: Promise<AttemptOutcome>;
  readonly #events: OfferEvents;
  readonly #settle: OfferParts["settle"];
  readonly #withdrawn = new AbortController();
  readonly #decided = new AbortController();

  /**
   * Sends the call to the second place.
   *
   * @param parts Where and how.
   * @param events Told how it went.
   */
  constructor(parts: OfferParts, events: OfferEvents) {
    this.place = parts.place;
    this.#events = events;
    this.#settle = parts.settle;
    const take = () => this.#take();
    scheduleAfterReading(
      parts.clock,
      TAKEN_AFTER_MS,
      take,
      this.#decided.signal,
    );
    this.outcome = parts.send({
      signal: this.#withdrawn.signal,
      onTaken: take,
    });
    void this.outcome.then((outcome) => this.#end(outcome));
  }

  /** Takes the call back: the first place answers after all. */
  withdraw(): void {
    this.#withdrawn.abort("withdrawn");
  }

  /** Leaves the call with the second place, whatever it says. */
  release(): void {
    this.#decided.abort("released");
  }

  #take(): void {
    if (this.#decided.signal.aborted || this.#withdrawn.signal.aborted) return;
    this.#decided.abort("taken");
    this.#events.onTaken(this);
  }

  #end(outcome: AttemptOutcome): void {
    // Only a send that has the call hands it over: that was decided before.
    if (outcome.kind === "handed-over" || this.#decided.signal.aborted) return;
    this.#decided.abort("ended");
    this.#settle(outcome);
    if (!this.#withdrawn.signal.aborted) this.#events.onRefused();
  }
}
