/** One complete event of a stream. */
export interface FramedEvent {
  /** The event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Id of the event; `undefined` if it has none. */
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/**
 * Splits the bytes of a `text/event-stream` into complete events. Bytes after the last
 * blank line are kept back, so that an event that the server never finished is not passed on.
 */
export class EventFramer {
  #pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get pending(): Buffer {
    return this.#pending;
  }

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly FramedEvent[] {
    let data = this.#pending.length === 0
      ? chunk
      : Buffer.concat([this.#pending, chunk]);
    const events: FramedEvent[] = [];
    let end = findEventEnd(data);
    while (end !== undefined) {
      const bytes = data.subarray(0, end);
      const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
      events.push({ bytes, id });
      data = data.subarray(end);
      end = findEventEnd(data);
    }
    this.#pending = data;
    return events;
  }
}

/** Returns the index after the first blank line, or `undefined`. */
function findEventEnd(data: Buffer): number | undefined {
  let at = data.indexOf(LINE_FEED);
  while (at >= 0) {
    if (data[at + 1] === LINE_FEED) return at + 2;
    if (data[at + 1] === CARRIAGE_RETURN && data[at + 2] === LINE_FEED) {
      return at + 3;
    }
    at = data.indexOf(LINE_FEED, at + 1);
  }
  return undefined;
}
