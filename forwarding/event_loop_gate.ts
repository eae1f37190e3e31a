import type { Clock } from "../clock/mod.ts";

/**
 * Calls that begin to be handled in one iteration of the event loop. It equals the number
 * of connections accepted in one, so that calls over new connections keep pace with those
 * over open ones. A call costs 1 to 3 ms on a small processor.
 */
const CALLS_PER_ITERATION = 1;
/**
 * Maximum estimated wait at which a call is admitted, in milliseconds. It is about a
 * quarter of the shortest response-time objectives, so that a call that is refused can
 * still be served elsewhere in time.
 */
const MAX_WAIT_MS = 100;
/** Weight of the last iteration in the moving average of their durations: about the last ten count. */
const LAST_ITERATION_WEIGHT = 0.1;
/**
 * Maximum duration with which one iteration counts, in milliseconds. A pause of the process
 * is no evidence about the next iterations.
 */
const MAX_ITERATION_MS = 50;

/**
 * Spreads the handling of calls over iterations of the event loop.
 *
 * The runtime accepts one connection in each iteration. Where an iteration handles every
 * call that has arrived, it takes 125 ms with 250 busy connections, and new connections
 * wait for seconds, until their callers have given up: an instance at its limit has 4
 * iterations and accepts 4 connections in 0.5 s. A call that waits here has been read
 * already, and the wait counts towards its time.
 *
 * Where a call would wait for too long, it isn't admitted, so that the processor serves
 * calls that can still be answered in time. Under 1.2 to 2.5 times the load that an
 * instance can forward, 99 in 100 calls over open connections are answered in under a
 * third of an objective of 0.8 s, and calls over new connections in under a second.
 * Without the gate, new connections wait for as long as the load lasts.
 * `daemon/overload_test.ts` plays this load.
 */
export class EventLoopGate {
  readonly #clock: Clock;
  readonly #waiting: (() => void)[] = [];
  #begunCount = 0;
  #meanIterationMs = 1;
  #iterationStartMs = 0;

  /** @param clock Source of time; a timer of 0 ms is due in the next iteration of the event loop. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Estimated wait of a call that arrives now, in milliseconds. */
  get waitMs(): number {
    return this.#waiting.length * this.#meanIterationMs / CALLS_PER_ITERATION;
  }

  /**
   * Waits until a call may begin: in this iteration of the event loop or in a later one,
   * in the order of arrival.
   *
   * @returns Whether the call is admitted; resolves to `false` at once where it would wait
   * for too long.
   */
  async enter(): Promise<boolean> {
    if (this.waitMs > MAX_WAIT_MS) return false;
    if (this.#begunCount === 0) this.#scheduleIteration();
    if (this.#waiting.length === 0 && this.#begunCount < CALLS_PER_ITERATION) {
      this.#begunCount++;
      return true;
    }
    await new Promise<void>((open) => this.#waiting.push(open));
    return true;
  }

  #scheduleIteration(): void {
    this.#iterationStartMs = this.#clock.nowMs();
    this.#clock.schedule(0, () => this.#beginIteration());
  }

  #beginIteration(): void {
    const lastMs = this.#clock.nowMs() - this.#iterationStartMs;
    this.#meanIterationMs += LAST_ITERATION_WEIGHT *
      (Math.min(lastMs, MAX_ITERATION_MS) - this.#meanIterationMs);
    const next = this.#waiting.splice(0, CALLS_PER_ITERATION);
    this.#begunCount = next.length;
    if (next.length > 0) this.#scheduleIteration();
    next.forEach((open) => open());
  }
}
