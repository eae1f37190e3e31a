const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/**
 * Finds the ends of events in the bytes of a `text/event-stream`, in which a line ends with
 * CR, LF or both (WHATWG HTML, section 9.2.6).
 */
export class EventScanner {
  /** Whether the last byte was a CR, to which an LF may still belong. */
  #isAfterCarriageReturn = false;
  #isLineEmpty = true;
  #hasField = false;
  #idleSize = 0;

  /**
   * Whether the bytes so far end within an event: after a field, or within a line. Comments
   * between events belong to none.
   */
  get isInsideEvent(): boolean {
    return this.#hasField || !this.#isLineEmpty;
  }

  /** Number of bytes since the last one of a field, or some more: comments and blank lines. */
  get idleSize(): number {
    return this.#idleSize;
  }

  /**
   * Takes the next bytes, and returns the indices in them after the blank line of each event. What
   * follows an event up to the next one, and ends in a blank line, is part of it.
   */
  scan(chunk: Buffer): readonly number[] {
    const ends: number[] = [];
    let hasAnyField = this.#hasField;
    for (let at = 0; at < chunk.length; at++) {
      const byte = chunk[at]!;
      const belongsToLineEnd = byte === LINE_FEED &&
        this.#isAfterCarriageReturn;
      this.#isAfterCarriageReturn = byte === CARRIAGE_RETURN;
      if (belongsToLineEnd) {
        if (ends.at(-1) === at) ends[ends.length - 1] = at + 1;
      } else if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
        if (this.#isLineEmpty) {
          if (this.#hasField || ends.length === 0) ends.push(at + 1);
          else ends[ends.length - 1] = at + 1;
          this.#hasField = false;
        }
        this.#isLineEmpty = true;
      } else {
        if (this.#isLineEmpty && byte !== COLON) {
          this.#hasField = true;
          hasAnyField = true;
        }
        this.#isLineEmpty = false;
      }
    }
    this.#idleSize = chunk.length + (hasAnyField ? 0 : this.#idleSize);
    return ends;
  }
}

/** Names of the fields of events. */
const FIELD_NAMES = ["data", "event", "id", "retry"] as const;

/** Returns whether the first bytes of a body may be those of an event or a comment. */
export function isEventStart(chunk: Buffer): boolean {
  const text = chunk.subarray(0, 8).toString("latin1");
  return /^[:\r\n]/.test(text) ||
    FIELD_NAMES.map((name) => `${name}:`).some((field) =>
      text.startsWith(field) || field.startsWith(text)
    );
}
