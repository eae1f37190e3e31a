import type { Socket } from "node:net";

/**
 * Maximum number of bytes that a connection receives for one answer beside its body, and
 * beside {@linkcode FRAMING_PER_BODY_BYTE}: several heads, or the extensions of some chunks.
 */
const MAX_FRAMING_BYTES = 65_536;
/** Bytes of framing for each byte of a body: some more than those of a chunk of one byte. */
const FRAMING_PER_BODY_BYTE = 16;

/** Why a connection was closed. */
export const FRAMING_EXCEEDED =
  `Over ${MAX_FRAMING_BYTES} bytes came beside a body`;

/**
 * Closes a connection that receives bytes without end which are no part of a body: a status
 * line, blank lines, interim answers, a chunk's size or its extension. undici bounds only the
 * names and the values of headers, and reports nothing while it skips other bytes.
 */
export class FramingLimit {
  readonly #socket: Socket;
  /** Bytes that had been read when the last answer was complete. */
  #earlierBytes = 0;
  #bodyBytes = 0;
  #isExceeded = false;

  /** @param socket Connection that has just been opened. */
  constructor(socket: Socket) {
    this.#socket = socket;
    socket.on("readable", () => this.#check());
  }

  /** Whether the connection was closed for this reason. */
  get isExceeded(): boolean {
    return this.#isExceeded;
  }

  /** Records bytes of the body of the present answer. */
  recordBody(sizeBytes: number): void {
    this.#bodyBytes += sizeBytes;
  }

  /** Begins to count for the next answer. */
  reset(): void {
    this.#earlierBytes = this.#readBytes;
    this.#bodyBytes = 0;
  }

  get #readBytes(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }

  #check(): void {
    const framingBytes = this.#readBytes - this.#earlierBytes -
      this.#bodyBytes * (1 + FRAMING_PER_BODY_BYTE);
    if (framingBytes <= MAX_FRAMING_BYTES || this.#isExceeded) return;
    this.#isExceeded = true;
    this.#socket.destroy(new Error(FRAMING_EXCEEDED));
  }
}
