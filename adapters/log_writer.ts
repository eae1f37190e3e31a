import { write } from "node:fs";
import type { LogLevel } from "../logs/mod.ts";

/** Pause between writes, in milliseconds: lines go out together. */
const FLUSH_INTERVAL_MS = 200;
/** Bytes that wait to be written at the most. */
const MAX_WAITING_BYTES = 262_144;
/** Part of the waiting bytes that lines about no failure may fill. */
const ORDINARY_PART = 0.5;
/** Pause before a full pipe is tried again, in milliseconds. */
const FULL_PIPE_PAUSE_MS = 50;

/**
 * Writes lines without ever waiting for whoever reads them. What does not fit
 * is dropped, lines of failures last, and the number of dropped lines is said.
 */
export class LogWriter {
  readonly #fileDescriptor: number;
  #lines: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param fileDescriptor Where to write; 1 is the standard output. */
  constructor(fileDescriptor: number) {
    this.#fileDescriptor = fileDescriptor;
  }

  /** Lines dropped so far and not yet said. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Takes one line. */
  write(line: string, level: LogLevel): void {
    const isFailure = level === "warn" || level === "error";
    const roomBytes = MAX_WAITING_BYTES * (isFailure ? 1 : ORDINARY_PART);
    if (this.#bytes + line.length > roomBytes) {
      this.#dropped++;
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length + 1;
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MS);
  }

  /** Writes what waits, and resolves when it is out or cannot be written. */
  async close(): Promise<void> {
    clearTimeout(this.#timer);
    const text = this.#take();
    if (text === "") return;
    await new Promise<void>((resolve) =>
      write(this.#fileDescriptor, text, () => resolve())
    );
  }

  #take(): string {
    const dropped = this.#dropped === 0 ? [] : [
      JSON.stringify({
        level: "warn",
        message: "log lines dropped",
        count: this.#dropped,
      }),
    ];
    const lines = [...this.#lines, ...dropped];
    this.#lines = [];
    this.#bytes = 0;
    this.#dropped = 0;
    return lines.length === 0 ? "" : `${lines.join("\n")}\n`;
  }

  #flush(): void {
    this.#timer = undefined;
    if (this.#isWriting) return;
    this.#writeAll(Buffer.from(this.#take()));
  }

  #writeAll(bytes: Buffer): void {
    if (bytes.length === 0) {
      this.#isWriting = false;
      if (this.#lines.length > 0) this.#flush();
      return;
    }
    this.#isWriting = true;
    write(this.#fileDescriptor, bytes, (error, written) => {
      if (error === null) return this.#writeAll(bytes.subarray(written));
      if (error.code === "EAGAIN") {
        setTimeout(() => this.#writeAll(bytes), FULL_PIPE_PAUSE_MS);
        return;
      }
      // Nobody reads the log any more: there is no place left to say so.
      this.#isWriting = false;
    });
  }
}
