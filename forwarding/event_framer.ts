import { ByteCollector } from "../bytes/mod.ts";
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
  readonly #pending = new ByteCollector();

  /** Whether the bytes so far end within an event. */
  get isInsideEvent(): boolean {
    return this.#scanner.isInsideEvent;
  }

  /** Number of bytes after the last blank line. */
  get pendingSize(): number {
    return this.#pending.size;
  }

  /** Number of bytes since the last one of a field, or some more. */
  get idleSize(): number {
    return this.#scanner.idleSize;
  }

  /** Returns the bytes after the last blank line, and forgets them. */
  takePending(): Buffer {
    return this.#pending.take();
  }

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly FramedEvent[] {
    const ends = this.#scanner.scan(chunk);
    const events = ends.map((end, at) => {
      const part = chunk.subarray(ends[at - 1] ?? 0, end);
      // Most chunks are one event, which needs no copy.
      const bytes = this.#pending.size === 0 ? part : this.#complete(part);
      const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
      return { bytes, id };
    });
    this.#pending.append(chunk.subarray(ends.at(-1) ?? 0));
    return events;
  }

  #complete(part: Buffer): Buffer {
    this.#pending.append(part);
    return this.#pending.take();
  }
}
