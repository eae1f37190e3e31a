import type { StateDocument } from "./state_change.ts";

interface Carried {
  readonly document: StateDocument;
  /** On the own clock. */
  readonly untilMs: number;
}

/**
 * Documents that a store lost as it came back from an older copy, for as long as those
 * who wrote them may take to write them again. They are not told to others: each
 * instance has its own, and one that has just started waits with the writers.
 */
export class CarriedOver {
  readonly #carried = new Map<string, Carried>();

  /** All documents. */
  get documents(): readonly StateDocument[] {
    return [...this.#carried.values()].map(({ document }) => document);
  }

  /** Carries a document over until a time. */
  add(key: string, document: StateDocument, untilMs: number): void {
    this.#carried.set(key, { document, untilMs });
  }

  /** Drops the document of a key, of which the store says something again. */
  drop(key: string): void {
    this.#carried.delete(key);
  }

  /**
   * Drops what was not written again in time.
   *
   * @returns Whether there was any.
   */
  sweep(nowMs: number): boolean {
    const expired = [...this.#carried]
      .filter(([, { untilMs }]) => nowMs >= untilMs);
    expired.forEach(([key]) => this.#carried.delete(key));
    return expired.length > 0;
  }
}
