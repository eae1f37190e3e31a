import { EventScanner } from "./event_scanner.ts";

/** One complete event of a stream. */
export interface FramedEvent {
  /** The event, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Id of the event; `undefined` if it has none. */
  readonly id: string | undefined;
}

const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/**
 * Splits the bytes of a `text/event-stream` into complete events. Bytes after the last
 * blank line are kept back, so that an event that the server never finished is not passed on.
 */
export class EventFramer {
  readonly #scanner = new EventScanner();
  #pending: Buffer[] = [];

  /** Whether the bytes so far end within an event. */
  get isInsideEvent(): boolean {
    return this.#scanner.isInsideEvent;
  }

  /** Bytes after the last blank line. */
  get pending(): Buffer {
    return Buffer.concat(this.#pending);
  }

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly FramedEvent[] {
    const ends = this.#scanner.scan(chunk);
    const events = ends.map((end, at) => {
      const part = chunk.subarray(ends[at - 1] ?? 0, end);
      // Most chunks are one event, which needs no copy.
      const bytes = this.#pending.length === 0
        ? part
        : Buffer.concat([...this.#pending.splice(0), part]);
      const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
      return { bytes, id };
    });
    const rest = chunk.subarray(ends.at(-1) ?? 0);
    if (rest.length > 0) this.#pending.push(rest);
    return events;
  }
}
