import type { StateDocument } from "./state_document.ts";

interface RetainedDocument {
  readonly document: StateDocument;
  /** Until when it is retained, on this instance's clock, in milliseconds. */
  readonly untilMs: number;
}

/**
 * Documents that the store lost when it was restored from an older copy. They are
 * retained for as long as their writers may take to write them again, and are left out
 * of copies for peers: each instance retains its own, and one that has just started
 * waits for the writers.
 */
export class RetainedDocuments {
  readonly #retained = new Map<string, RetainedDocument>();

  /** All retained documents. */
  get documents(): readonly StateDocument[] {
    return [...this.#retained.values()].map(({ document }) => document);
  }

  /** Retains a document until a time, in milliseconds. */
  add(key: string, document: StateDocument, untilMs: number): void {
    this.#retained.set(key, { document, untilMs });
  }

  /** Drops the document of a key that the store has changed again. */
  drop(key: string): void {
    this.#retained.delete(key);
  }

  /**
   * Drops documents that were not written again in time.
   *
   * @returns Whether any was dropped.
   */
  sweep(nowMs: number): boolean {
    const expired = [...this.#retained]
      .filter(([, { untilMs }]) => nowMs >= untilMs);
    expired.forEach(([key]) => this.#retained.delete(key));
    return expired.length > 0;
  }
}
