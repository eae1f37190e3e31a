/** Size of the first block of several pieces, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
/** Maximum size of a block, in bytes. */
const MAX_BLOCK_BYTES = 65_536;
const NO_BYTES = Buffer.alloc(0);

/**
 * Collects bytes that arrive in pieces, and copies them into a few large blocks. A list of the
 * pieces would take some 200 bytes more for each, and each may be a view that keeps a whole
 * buffer of its connection in memory. The blocks have at most twice the bytes collected, and at
 * most {@linkcode MAX_BLOCK_BYTES} more.
 */
export class ByteCollector {
  /** A single piece, which needs no copy unless others follow. */
  #single: Buffer | undefined;
  /** Full blocks. */
  #blocks: Buffer[] = [];
  #lastBlock = NO_BYTES;
  /** Bytes used in the last block. */
  #used = 0;
  #size = 0;

  /** Number of bytes collected. */
  get size(): number {
    return this.#size;
  }

  /** Adds a piece, which must not change until the next one is added or the bytes are taken. */
  append(piece: Buffer): void {
    if (piece.length === 0) return;
    if (this.#size === 0 && isMostOfItsBuffer(piece)) this.#single = piece;
    else {
      this.#copySingle();
      this.#copy(piece);
    }
    this.#size += piece.length;
  }

  /** Returns all bytes collected since the last time, and forgets them. */
  take(): Buffer {
    const bytes = this.#single ?? Buffer.concat([
      ...this.#blocks,
      this.#lastBlock.subarray(0, this.#used),
    ]);
    this.clear();
    return bytes;
  }

  /** Forgets the bytes collected. */
  clear(): void {
    this.#single = undefined;
    this.#blocks = [];
    this.#lastBlock = NO_BYTES;
    this.#used = 0;
    this.#size = 0;
  }

  #copySingle(): void {
    if (this.#single === undefined) return;
    this.#copy(this.#single);
    this.#single = undefined;
  }

  #copy(piece: Buffer): void {
    let rest = piece;
    while (rest.length > 0) {
      if (this.#used === this.#lastBlock.length) this.#addBlock();
      const count = rest.copy(this.#lastBlock, this.#used);
      this.#used += count;
      rest = rest.subarray(count);
    }
  }

  #addBlock(): void {
    if (this.#used > 0) this.#blocks.push(this.#lastBlock);
    const wantedBytes = Math.max(MIN_BLOCK_BYTES, this.#size);
    this.#lastBlock = Buffer.allocUnsafeSlow(
      Math.min(MAX_BLOCK_BYTES, wantedBytes),
    );
    this.#used = 0;
  }
}

/** Returns whether a view keeps at most twice its own bytes in memory. */
function isMostOfItsBuffer({ buffer, length }: Buffer): boolean {
  return buffer.byteLength <= 2 * length;
}
