import { setImmediate } from "node:timers/promises";
import type { CancelSignal } from "./cancellation.ts";
import type { Clock } from "./clock.ts";

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
  /** Removes the listener from the signal. */
  detach?: () => void;
}

/** A clock whose time changes only when it is advanced. For tests and benchmarks. */
export class VirtualClock implements Clock {
  #nowMs: number;
  #order = 0;
  #heap: Timer[] = [];

  /** @param startMs Initial time, in milliseconds since the epoch. */
  constructor(startMs = 1_000_000) {
    this.#nowMs = startMs;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  elapsedMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, callback: () => void, signal?: CancelSignal): void {
    if (signal?.aborted) return;
    const timer: Timer = {
      dueMs: this.#nowMs + Math.max(0, delayMs),
      order: this.#order++,
      callback,
      cancelled: false,
    };
    this.#push(timer);
    if (signal === undefined) return;
    const cancel = () => {
      timer.cancelled = true;
    };
    signal.addEventListener("abort", cancel, { once: true });
    timer.detach = () => signal.removeEventListener("abort", cancel);
  }

  /**
   * Runs every timer that falls due, without letting promises settle.
   *
   * @param durationMs Time to advance by, in milliseconds.
   */
  advanceSync(durationMs: number): void {
    const endMs = this.#nowMs + durationMs;
    while (this.#runNext(endMs));
    this.#nowMs = endMs;
  }

  /**
   * Runs every timer that falls due and lets promises settle after each.
   *
   * @param durationMs Time to advance by, in milliseconds.
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.#nowMs + durationMs;
    await flushPromises();
    while (this.#runNext(endMs)) await flushPromises();
    this.#nowMs = endMs;
  }

  /** Runs the next timer that is due and not cancelled; returns `false` if there is none. */
  #runNext(endMs: number): boolean {
    for (
      let timer = this.#pop(endMs);
      timer !== undefined;
      timer = this.#pop(endMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
      if (timer.cancelled) continue;
      timer.detach?.();
      timer.callback();
      return true;
    }
    return false;
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    heap.push(timer);
    let at = heap.length - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(heap[at]!, heap[parent]!)) break;
      [heap[at], heap[parent]] = [heap[parent]!, heap[at]!];
      at = parent;
    }
  }

  #pop(endMs: number): Timer | undefined {
    const heap = this.#heap;
    const first = heap[0];
    if (first === undefined || first.dueMs > endMs) return undefined;
    const last = heap.pop()!;
    if (heap.length > 0) {
      heap[0] = last;
      this.#siftDown();
    }
    return first;
  }

  #siftDown(): void {
    const heap = this.#heap;
    let at = 0;
    while (true) {
      const left = 2 * at + 1;
      const right = left + 1;
      let earliest = at;
      if (left < heap.length && isBefore(heap[left]!, heap[earliest]!)) {
        earliest = left;
      }
      if (right < heap.length && isBefore(heap[right]!, heap[earliest]!)) {
        earliest = right;
      }
      if (earliest === at) return;
      [heap[at], heap[earliest]] = [heap[earliest]!, heap[at]!];
      at = earliest;
    }
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
}

/** Lets every promise that can settle without a timer settle. */
async function flushPromises(): Promise<void> {
  await setImmediate();
}
