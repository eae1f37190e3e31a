import type { ServerResponse } from "node:http";
import { ByteCollector } from "../bytes/mod.ts";

/**
 * Writes the body of an answer. Each write to a connection that its caller does not read costs
 * some 500 bytes until it is sent, whatever its size. Pieces that arrive during a write are
 * therefore collected, and written together once it has ended.
 */
export class AnswerWriter {
  readonly #response: ServerResponse;
  /** Pieces that wait for the end of the write in progress. */
  readonly #pending = new ByteCollector();
  #isWriting = false;
  #drainCallbacks: readonly (() => void)[] = [];

  /** @param response The answer, whose head has been written. */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * Writes a piece.
   *
   * @returns Whether the caller reads fast enough; otherwise further pieces must wait until
   * {@linkcode onDrain}.
   */
  write(piece: Buffer): boolean {
    if (this.#response.destroyed) return true;
    if (this.#isWriting) this.#pending.append(piece);
    else this.#send(piece);
    return this.#hasRoom;
  }

  /** Calls back once when further pieces may be written. */
  onDrain(callback: () => void): void {
    this.#drainCallbacks = [...this.#drainCallbacks, callback];
  }

  /** Hands all pieces to the connection, before the answer ends or is broken off. */
  flush(): void {
    if (this.#pending.size === 0 || this.#response.destroyed) return;
    this.#response.write(this.#pending.take());
  }

  get #hasRoom(): boolean {
    const { writableHighWaterMark, writableLength } = this.#response;
    return this.#pending.size + writableLength < writableHighWaterMark;
  }

  #send(piece: Buffer): void {
    this.#isWriting = true;
    this.#response.write(piece, () => this.#endWrite());
  }

  #endWrite(): void {
    this.#isWriting = false;
    if (this.#response.destroyed) {
      this.#pending.clear();
      return;
    }
    if (this.#pending.size > 0 && !this.#response.writableEnded) {
      this.#send(this.#pending.take());
    }
    if (!this.#hasRoom) return;
    const callbacks = this.#drainCallbacks;
    this.#drainCallbacks = [];
    callbacks.forEach((callback) => callback());
  }
}
