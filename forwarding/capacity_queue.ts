import { type Clock, waitFor } from "../clock/mod.ts";

interface Ticket {
  readonly rank: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Queue of calls that wait for capacity, ordered by urgency and then by waiting time. */
export class CapacityQueue {
  readonly #clock: Clock;
  #tickets: readonly Ticket[] = [];
  #order = 0;

  /** @param clock Source of time. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of calls that wait. */
  get length(): number {
    return this.#tickets.length;
  }

  /** Returns a number that keeps a call's position in the queue over several waits. */
  takeOrder(): number {
    return ++this.#order;
  }

  /**
   * Waits until woken, but no longer than a maximum time.
   *
   * @param ticket Rank of the call, where 0 is the most urgent, and its number.
   * @param maxWaitMs Maximum wait, in milliseconds.
   * @param signal Ends the wait when aborted.
   */
  async wait(
    ticket: { readonly rank: number; readonly order: number },
    maxWaitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort("woken");
    const queued = { ...ticket, wake };
    this.#tickets = [...this.#tickets, queued].sort(compareTickets);
    signal.addEventListener("abort", wake, { once: true });
    await waitFor(this.#clock, maxWaitMs, woken.signal);
    signal.removeEventListener("abort", wake);
    this.#tickets = this.#tickets.filter((each) => each !== queued);
  }

  /** Wakes the first calls of the queue, so that they look for capacity again. */
  wakeFirst(count: number): void {
    this.#tickets.slice(0, count).forEach(({ wake }) => wake());
  }
}

function compareTickets(a: Ticket, b: Ticket): number {
  return a.rank - b.rank || a.order - b.order;
}
