import { END_OF_STREAM, type StreamEvent } from "../engine/mod.ts";

/** Numbers of dropped and buffered events. */
export interface SequenceCounts {
  /** Dropped events of other attempts. */
  foreign: number;
  /** Dropped events that had already arrived. */
  duplicate: number;
  /** Events that arrived before an earlier one and were buffered. */
  early: number;
}

/** Result of an event: data to deliver, or a gap. */
export type SequenceStep =
  | {
    readonly kind: "deliver";
    readonly data: readonly string[];
    readonly isEnded: boolean;
  }
  /** Too many events are buffered: the one that they wait for is lost. */
  | { readonly kind: "gap" };

const MAX_BUFFERED = 64;

/**
 * Delivers the events of one attempt, each once and in order. Events of other
 * attempts and duplicates are dropped and counted; events that arrive early are
 * buffered until those before them have arrived.
 */
export class EventSequence {
  /** Numbers of dropped and buffered events. */
  readonly counts: SequenceCounts = { foreign: 0, duplicate: 0, early: 0 };
  #next: number;
  #isEnded = false;
  readonly #attempt: string;
  readonly #buffered = new Map<number, string>();

  /**
   * @param attempt Attempt whose events are delivered.
   * @param firstIndex Index of its first event. Default: 0.
   */
  constructor(attempt: string, firstIndex = 0) {
    this.#attempt = attempt;
    this.#next = firstIndex;
  }

  /** Index of the next event to deliver. */
  get nextIndex(): number {
    return this.#next;
  }

  /** Whether the terminal event has arrived in order. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Applies one event.
   *
   * @param event Event as it arrived.
   * @returns Data to deliver now, in order.
   */
  apply(event: StreamEvent): SequenceStep {
    if (event.attempt !== this.#attempt) {
      this.counts.foreign++;
      return { kind: "deliver", data: [], isEnded: this.#isEnded };
    }
    if (
      this.#isEnded || event.index < this.#next ||
      this.#buffered.has(event.index)
    ) {
      this.counts.duplicate++;
      return { kind: "deliver", data: [], isEnded: this.#isEnded };
    }
    if (event.index > this.#next) {
      this.counts.early++;
      this.#buffered.set(event.index, event.data);
      return this.#buffered.size > MAX_BUFFERED
        ? { kind: "gap" }
        : { kind: "deliver", data: [], isEnded: false };
    }
    const data = [event.data];
    this.#next++;
    for (
      let buffered = this.#takeBuffered();
      buffered !== undefined;
      buffered = this.#takeBuffered()
    ) {
      data.push(buffered);
    }
    const end = data.indexOf(END_OF_STREAM);
    if (end >= 0) this.#isEnded = true;
    return {
      kind: "deliver",
      data: end < 0 ? data : data.slice(0, end),
      isEnded: this.#isEnded,
    };
  }

  #takeBuffered(): string | undefined {
    const data = this.#buffered.get(this.#next);
    if (data === undefined) return undefined;
    this.#buffered.delete(this.#next);
    this.#next++;
    return data;
  }
}
