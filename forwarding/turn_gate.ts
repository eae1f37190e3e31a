import type { Clock } from "../clock/mod.ts";

/**
 * Calls that begin to be handled in one iteration of the event loop. It equals the number
 * of connections accepted in one, so that calls over new connections keep pace with those
 * over open ones. A call costs 1 to 3 ms on a small processor.
 */
const CALLS_PER_TURN = 1;
/**
 * Maximum estimated wait at which a call is admitted, in milliseconds. It is about a
 * quarter of the shortest response-time objectives, so that a call that is refused can
 * still be served elsewhere in time.
 */
const LONGEST_WAIT_MS = 100;
/** Weight of the last iteration in the moving average of their durations: about the last ten count. */
const LAST_TURN_WEIGHT = 0.1;
/**
 * Maximum duration with which one iteration counts, in milliseconds. A pause of the process
 * is no evidence about the next iterations.
 */
const LONGEST_TURN_MS = 50;

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
export class TurnGate {
  readonly #clock: Clock;
  readonly #waiting: (() => void)[] = [];
  #begun = 0;
  #turnMs = 1;
  #turnedMs = 0;

  /** @param clock Source of time; a timer of 0 ms is due in the next iteration of the event loop. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Estimated wait of a call that arrives now, in milliseconds. */
  get waitMs(): number {
    return this.#waiting.length * this.#turnMs / CALLS_PER_TURN;
  }

  /**
   * Waits until a call may begin: in this iteration of the event loop or in a later one,
   * in the order of arrival.
   *
   * @returns Whether the call is admitted; resolves to `false` at once where it would wait
   * for too long.
   */
  async enter(): Promise<boolean> {
    if (this.waitMs > LONGEST_WAIT_MS) return false;
    if (this.#begun === 0) this.#scheduleTurn();
    if (this.#waiting.length === 0 && this.#begun < CALLS_PER_TURN) {
      this.#begun++;
      return true;
    }
    await new Promise<void>((open) => this.#waiting.push(open));
    return true;
  }

  #scheduleTurn(): void {
    this.#turnedMs = this.#clock.nowMs();
    this.#clock.schedule(0, () => this.#beginTurn());
  }

  #beginTurn(): void {
    const lastMs = this.#clock.nowMs() - this.#turnedMs;
    this.#turnMs += LAST_TURN_WEIGHT *
      (Math.min(lastMs, LONGEST_TURN_MS) - this.#turnMs);
    const next = this.#waiting.splice(0, CALLS_PER_TURN);
    this.#begun = next.length;
    if (next.length > 0) this.#scheduleTurn();
    next.forEach((open) => open());
  }
}
