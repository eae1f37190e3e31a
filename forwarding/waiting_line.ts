import { type Clock, waitFor } from "../clock/mod.ts";

interface Place {
  readonly rank: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Queue of calls that wait for capacity, ordered by urgency and then by waiting time. */
export class WaitingLine {
  readonly #clock: Clock;
  #places: readonly Place[] = [];
  #order = 0;

  /** @param clock Source of time. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of calls that wait. */
  get length(): number {
    return this.#places.length;
  }

  /** Returns a number that keeps a call's position in the queue over several waits. */
  takeOrder(): number {
    return ++this.#order;
  }

  /**
   * Waits until woken, but no longer than a maximum time.
   *
   * @param place Rank of the call, where 0 is the most urgent, and its number.
   * @param longestMs Maximum wait, in milliseconds.
   * @param signal Ends the wait when aborted.
   */
  async wait(
    place: { readonly rank: number; readonly order: number },
    longestMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort("woken");
    const mine = { ...place, wake };
    this.#places = [...this.#places, mine].sort(comparePlaces);
    signal.addEventListener("abort", wake, { once: true });
    await waitFor(this.#clock, longestMs, woken.signal);
    signal.removeEventListener("abort", wake);
    this.#places = this.#places.filter((each) => each !== mine);
  }

  /** Wakes the first calls of the queue, so that they look for capacity again. */
  wakeFirst(count: number): void {
    this.#places.slice(0, count).forEach(({ wake }) => wake());
  }
}

function comparePlaces(a: Place, b: Place): number {
  return a.rank - b.rank || a.order - b.order;
}
