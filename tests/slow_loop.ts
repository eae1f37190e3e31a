import type { Clock } from "../clock/mod.ts";

/** A loop whose turns take as long as a test says; timers run between them. */
export class SlowLoop implements Clock {
  #nowMs = 0;
  #timers: {
    readonly dueMs: number;
    readonly callback: () => void;
    readonly signal: AbortSignal | undefined;
  }[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  elapsedMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, callback: () => void, signal?: AbortSignal): void {
    this.#timers.push({ dueMs: this.#nowMs + delayMs, callback, signal });
  }

  /** Works for a time, without running timers. */
  work(forMs: number): void {
    this.#nowMs += forMs;
  }

  /** Runs the timers that are due. */
  turn(): void {
    const due = this.#timers.filter(({ dueMs }) => dueMs <= this.#nowMs)
      .sort((a, b) => a.dueMs - b.dueMs);
    this.#timers = this.#timers.filter((timer) => !due.includes(timer));
    due.filter(({ signal }) => !signal?.aborted)
      .forEach(({ callback }) => callback());
  }
}
