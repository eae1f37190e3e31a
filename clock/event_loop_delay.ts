import { type Clock, waitFor } from "./clock.ts";

/**
 * Pause between checks while the event loop keeps up, in milliseconds: short compared
 * with the shortest timeouts, long compared with the cost of a check.
 */
const CHECK_INTERVAL_MS = 50;
/**
 * Pause between checks while the event loop is behind, in milliseconds. It gives a
 * check in each iteration, since bytes that are read in an iteration have waited for
 * the one before it at the longest.
 */
const BEHIND_INTERVAL_MS = 1;
/**
 * Delay up to which the event loop counts as keeping up, in milliseconds; timers run a
 * little late even then.
 */
const MIN_DELAY_MS = 20;
/**
 * Minimum delay that counts as a stall of the process, in milliseconds: several times that
 * of an iteration of a busy process.
 */
const MIN_STALL_MS = 500;

/**
 * Iterations of the event loop after a stall in which what has arrived is read: of a socket's
 * datagrams, of which its receive buffer holds under 300, Node reads 32 in an iteration.
 */
const CATCH_UP_ITERATIONS = 10;
/** Maximum time for them, in milliseconds: those of a busy process take long. */
const MAX_CATCH_UP_MS = 100;

/** Length of the intervals whose longest delays are remembered, in milliseconds. */
const PEAK_INTERVAL_MS = 1_000;

/** A time in which the process ran no timer and read no bytes: it was stopped, or its event loop was busy. */
export interface ProcessStall {
  /** When the event loop was last seen to run, in milliseconds since the epoch. */
  readonly fromMs: number;
  /** Duration, in milliseconds. */
  readonly tookMs: number;
}

/** Options of an {@linkcode EventLoopDelay}. */
export interface EventLoopDelayOptions {
  /** Called after each stall of the process, before what has arrived meanwhile is read. Default: nothing. */
  readonly onStall?: (stall: ProcessStall) => void;
}

/**
 * Measures how far the event loop is behind: how long bytes that are read now may have
 * waited unread. An overloaded process reads late, and can detect this only by the
 * delay of its own timers.
 */
export class EventLoopDelay {
  readonly #clock: Clock;
  readonly #onStall: EventLoopDelayOptions["onStall"];
  #checkedMs: number | undefined;
  #intervalMs = CHECK_INTERVAL_MS;
  #timerDelayMs = 0;
  /** Longest delays of the current interval and of the one before it, in milliseconds. */
  #peaks = { interval: 0, currentMs: 0, previousMs: 0 };
  /** Resolves once what arrived during a stall is read; `undefined` otherwise. */
  #catchUp: Promise<void> | undefined;

  /**
   * @param clock Source of time.
   * @param options Who is told of stalls.
   */
  constructor(clock: Clock, options: EventLoopDelayOptions = {}) {
    this.#clock = clock;
    this.#onStall = options.onStall;
  }

  /** Starts periodic checks, until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#checkedMs = this.#clock.nowMs();
    this.#scheduleCheck(signal);
  }

  /**
   * Returns the longest time that bytes read now may have waited, in milliseconds; 0
   * while the event loop keeps up.
   */
  readMs(): number {
    if (this.#checkedMs === undefined) return 0;
    const sinceMs = this.#clock.nowMs() - this.#checkedMs;
    const delayMs = this.#timerDelayMs +
      Math.max(0, sinceMs - this.#intervalMs);
    return delayMs > MIN_DELAY_MS ? delayMs : 0;
  }

  /**
   * Returns the longest delay of the last one to two seconds, in milliseconds; 0 if the event
   * loop kept up. A process that gets the processor in turns is behind again soon.
   */
  readPeakMs(): number {
    this.#recordPeak(this.readMs());
    return Math.max(this.#peaks.currentMs, this.#peaks.previousMs);
  }

  #recordPeak(delayMs: number): void {
    const interval = Math.floor(this.#clock.nowMs() / PEAK_INTERVAL_MS);
    const { currentMs, interval: lastInterval } = this.#peaks;
    if (interval === lastInterval) {
      this.#peaks.currentMs = Math.max(currentMs, delayMs);
      return;
    }
    const previousMs = interval === lastInterval + 1 ? currentMs : 0;
    this.#peaks = { interval, currentMs: delayMs, previousMs };
  }

  /**
   * Resolves at once, or after a stall once what has arrived meanwhile is read: until then,
   * what is known of others is as old as the stall.
   */
  async awaitCaughtUp(): Promise<void> {
    if (this.readMs() >= MIN_STALL_MS) this.#catchUp ??= this.#readOn();
    await this.#catchUp;
  }

  async #readOn(): Promise<void> {
    const untilMs = this.#clock.nowMs() + MAX_CATCH_UP_MS;
    for (let read = 0; read < CATCH_UP_ITERATIONS; read++) {
      await waitFor(this.#clock, 0);
      if (this.#clock.nowMs() > untilMs) break;
    }
    this.#catchUp = undefined;
  }

  #scheduleCheck(signal: AbortSignal): void {
    this.#clock.schedule(this.#intervalMs, () => {
      const nowMs = this.#clock.nowMs();
      const fromMs = this.#checkedMs ?? nowMs;
      const tookMs = nowMs - fromMs;
      this.#checkedMs = nowMs;
      this.#timerDelayMs = Math.max(0, tookMs - this.#intervalMs);
      if (this.#timerDelayMs >= MIN_STALL_MS) {
        this.#catchUp ??= this.#readOn();
        this.#onStall?.({ fromMs, tookMs });
      }
      const isBehind = this.#timerDelayMs > MIN_DELAY_MS;
      if (isBehind) this.#recordPeak(this.#timerDelayMs);
      this.#intervalMs = isBehind ? BEHIND_INTERVAL_MS : CHECK_INTERVAL_MS;
      this.#scheduleCheck(signal);
    }, signal);
  }
}
