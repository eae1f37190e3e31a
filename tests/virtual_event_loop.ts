import { setImmediate as awaitCheckPhase } from "node:timers/promises";
import type { CancelSignal, Clock } from "../clock/mod.ts";

/** A simulated event loop and its clock: a test sets how long each iteration takes, and runs the timers between iterations. */
export class VirtualEventLoop implements Clock {
  #nowMs = 0;
  #timers: {
    readonly dueMs: number;
    readonly callback: () => void;
    readonly signal: CancelSignal | undefined;
  }[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  elapsedMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, callback: () => void, signal?: CancelSignal): void {
    this.#timers.push({ dueMs: this.#nowMs + delayMs, callback, signal });
  }

  /** Advances the clock by the time of an iteration in milliseconds, without running timers. */
  block(forMs: number): void {
    this.#nowMs += forMs;
  }

  /** Runs short iterations, with what follows the timers of each. */
  async runIterations(count: number): Promise<void> {
    for (let run = 0; run < count; run++) {
      this.block(1);
      this.runDueTimers();
      await awaitCheckPhase();
    }
  }

  /** Runs all timers that are due. */
  runDueTimers(): void {
    const due = this.#timers.filter(({ dueMs }) => dueMs <= this.#nowMs)
      .sort((a, b) => a.dueMs - b.dueMs);
    this.#timers = this.#timers.filter((timer) => !due.includes(timer));
    due.filter(({ signal }) => !signal?.aborted)
      .forEach(({ callback }) => callback());
  }
}
