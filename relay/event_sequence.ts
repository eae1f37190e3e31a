import { END_OF_STREAM, type StreamEvent } from "../engine/mod.ts";

/** What was let through or dropped. */
export interface SequenceCounts {
  /** Events of another attempt. */
  foreign: number;
  /** Events that were there before. */
  duplicate: number;
  /** Events that came too early and were held. */
  early: number;
}

/** What to do after an event. */
export type SequenceStep =
  | {
    readonly kind: "deliver";
    readonly data: readonly string[];
    readonly isEnded: boolean;
  }
  /** Too many events are held: one is lost. */
  | { readonly kind: "gap" };

const MAX_HELD = 64;

/**
 * Lets through the events of one attempt, each once and in order. Foreign and
 * repeated events are dropped and counted; early ones are held for their turn.
 */
export class EventSequence {
  /** What was dropped or held. */
  readonly counts: SequenceCounts = { foreign: 0, duplicate: 0, early: 0 };
  #next: number;
  #isEnded = false;
  readonly #attempt: string;
  readonly #held = new Map<number, string>();

  /**
   * @param attempt The one attempt whose events are let through.
   * @param firstIndex Index of its first event. Default: 0.
   */
  constructor(attempt: string, firstIndex = 0) {
    this.#attempt = attempt;
    this.#next = firstIndex;
  }

  /** Index of the event that is wanted next. */
  get nextIndex(): number {
    return this.#next;
  }

  /** Whether the terminal event was let through. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Takes one event.
   *
   * @param event As it arrived.
   * @returns Data to deliver now, in order.
   */
  apply(event: StreamEvent): SequenceStep {
    if (event.attempt !== this.#attempt) {
      this.counts.foreign++;
      return { kind: "deliver", data: [], isEnded: this.#isEnded };
    }
    if (
      this.#isEnded || event.index < this.#next || this.#held.has(event.index)
    ) {
      this.counts.duplicate++;
      return { kind: "deliver", data: [], isEnded: this.#isEnded };
    }
    if (event.index > this.#next) {
      this.counts.early++;
      this.#held.set(event.index, event.data);
      return this.#held.size > MAX_HELD
        ? { kind: "gap" }
        : { kind: "deliver", data: [], isEnded: false };
    }
    const data = [event.data];
    this.#next++;
    for (let held = this.#take(); held !== undefined; held = this.#take()) {
      data.push(held);
    }
    const end = data.indexOf(END_OF_STREAM);
    if (end >= 0) this.#isEnded = true;
    return {
      kind: "deliver",
      data: end < 0 ? data : data.slice(0, end),
      isEnded: this.#isEnded,
    };
  }

  #take(): string | undefined {
    const data = this.#held.get(this.#next);
    if (data === undefined) return undefined;
    this.#held.delete(this.#next);
    this.#next++;
    return data;
  }
}
