import { write } from "node:fs";
import type { LogLevel } from "../logs/mod.ts";

/** Delay before lines are written, in milliseconds, so that several share one write. */
const FLUSH_INTERVAL_MS = 200;
/** Maximum size of the lines that wait to be written, in bytes. */
const MAX_PENDING_BYTES = 262_144;
/** Fraction of {@linkcode MAX_PENDING_BYTES} that lines below level `warn` may use. */
const ORDINARY_LINES_FRACTION = 0.5;
/** Delay before a write to a full pipe is retried, in milliseconds. */
const FULL_PIPE_PAUSE_MS = 50;

/**
 * Writes log lines without blocking on their reader. Lines that exceed the bound on
 * pending bytes are dropped, those of level `warn` and `error` last. The number of
 * dropped lines is logged.
 */
export class LogWriter {
  readonly #fileDescriptor: number;
  #pendingLines: string[] = [];
  #pendingBytes = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param fileDescriptor File descriptor to write to; 1 is the standard output. */
  constructor(fileDescriptor: number) {
    this.#fileDescriptor = fileDescriptor;
  }

  /** Number of dropped lines that have not been logged yet. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Queues one line, or drops it if too many bytes are pending. */
  write(line: string, level: LogLevel): void {
    const isFailure = level === "warn" || level === "error";
    const capacityBytes = MAX_PENDING_BYTES *
      (isFailure ? 1 : ORDINARY_LINES_FRACTION);
    if (this.#pendingBytes + line.length > capacityBytes) {
      this.#dropped++;
      return;
    }
    this.#pendingLines.push(line);
    this.#pendingBytes += line.length + 1;
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MS);
  }

  /** Writes the pending lines, and resolves when they are written or the write has failed. */
  async close(): Promise<void> {
    clearTimeout(this.#timer);
    const text = this.#takePendingText();
    if (text === "") return;
    await new Promise<void>((resolve) =>
      write(this.#fileDescriptor, text, () => resolve())
    );
  }

  #takePendingText(): string {
    const dropped = this.#dropped === 0 ? [] : [
      JSON.stringify({
        level: "warn",
        message: "log lines dropped",
        count: this.#dropped,
      }),
    ];
    const lines = [...this.#pendingLines, ...dropped];
    this.#pendingLines = [];
    this.#pendingBytes = 0;
    this.#dropped = 0;
    return lines.length === 0 ? "" : `${lines.join("\n")}\n`;
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#isWriting) return;
    this.#writeAll(Buffer.from(this.#takePendingText()));
  }

  #writeAll(bytes: Buffer): void {
    if (bytes.length === 0) {
      this.#isWriting = false;
      if (this.#pendingLines.length > 0) this.#flush();
      return;
    }
    this.#isWriting = true;
    write(this.#fileDescriptor, bytes, (error, written) => {
      if (error === null) return this.#writeAll(bytes.subarray(written));
      if (error.code === "EAGAIN") {
        setTimeout(() => this.#writeAll(bytes), FULL_PIPE_PAUSE_MS);
        return;
      }
      // The log has no reader any more, so this error can't be logged.
      this.#isWriting = false;
    });
  }
}
