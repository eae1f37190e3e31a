/** Number of reports that are remembered: a member silent for as many is considered dead. */
const REMEMBERED_REPORTS = 12;

/**
 * Contents of this instance's last reports. A summary includes one of them and names
 * its sequence number, so that exactly its content is subtracted again. This instance
 * knows its current figures itself, and nothing counts twice or is left out.
 */
export class RememberedReports<Content> {
  readonly #bySequence = new Map<number, Content>();

  /** Remembers the content of a report by its sequence number. */
  remember(sequence: number, content: Content): void {
    this.#bySequence.set(sequence, content);
    const [oldest] = this.#bySequence.keys();
    if (this.#bySequence.size > REMEMBERED_REPORTS) {
      this.#bySequence.delete(oldest!);
    }
  }

  /** Returns the content of a report, or `undefined` if it is not remembered. */
  find(sequence: number): Content | undefined {
    return this.#bySequence.get(sequence);
  }
}
