import type { Clock } from "./clock.ts";

/**
 * Time before its due time at which a task may run, in milliseconds, so that tasks that are
 * due within it share a wake-up of the process.
 */
const SLACK_MS = 5;

interface PeriodicTask {
  readonly intervalMs: number;
  readonly run: () => void;
  dueMs: number;
}

/**
 * Tasks that run at regular intervals. They have no timer of their own: whoever owns a timer
 * asks when the next one is due, and runs those that are.
 */
export class PeriodicTasks {
  readonly #clock: Clock;
  readonly #tasks: PeriodicTask[] = [];

  /** @param clock Source of time. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a task. It first runs after one interval.
   *
   * @param intervalMs Interval between runs, in milliseconds.
   * @param run Function to call. If it throws, the error is left to the process as an
   *   unhandled rejection, and the task continues.
   */
  add(intervalMs: number, run: () => void): void {
    const dueMs = this.#clock.nowMs() + intervalMs;
    this.#tasks.push({ intervalMs, run, dueMs });
  }

  /** Returns the time until the next task is due, in milliseconds; `Infinity` without tasks. */
  readDelayMs(nowMs: number): number {
    return this.#tasks.reduce(
      (least, { dueMs }) => Math.min(least, dueMs - nowMs),
      Infinity,
    );
  }

  /** Runs the tasks that are due. After a stall, a task runs once and not once per missed interval. */
  runDue(nowMs: number): void {
    for (const task of this.#tasks) {
      if (task.dueMs > nowMs + SLACK_MS) continue;
      // Due times keep to a grid, so that tasks whose intervals have a common divisor stay
      // aligned although timers run a little late.
      const nextMs = task.dueMs + task.intervalMs;
      task.dueMs = nextMs > nowMs + SLACK_MS ? nextMs : nowMs + task.intervalMs;
      try {
        task.run();
      } catch (error) {
        void Promise.reject(error);
      }
    }
  }
}
