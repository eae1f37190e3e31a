import type { Clock } from "../clock/mod.ts";

/**
 * Calls that begin to be handled in one turn of the event loop: as many as
 * connections are accepted, so that new ones keep pace with open ones. A call costs 1
 * to 3 ms of a small processor.
 */
const CALLS_PER_TURN = 1;
/**
 * Longest wait that a call is let in for, in milliseconds: about a quarter of the
 * shortest objectives, so that whoever is refused can still be served elsewhere in
 * time.
 */
const LONGEST_WAIT_MS = 100;
/** Weight of the last turn in the mean time of a turn: the last ten or so count. */
const LAST_TURN_WEIGHT = 0.1;
/** Longest time that one turn counts with, in milliseconds: a pause of the process says nothing of the next turns. */
const LONGEST_TURN_MS = 50;

/**
 * Spreads the handling of calls over turns of the event loop. The runtime accepts
 * one connection a turn: where a turn handles whatever has arrived, it takes 125 ms
 * with 250 busy connections, and new ones wait for seconds until their callers have
 * gone (measured on an instance at its limit: 4 turns and 4 accepted connections in
 * 0.5 s). Calls that wait here have been read, and their time counts.
 *
 * Where they would wait for too long, further ones are not let in: the processor goes
 * to calls that can still be served in time. Under 1.2 to 2.5 times the load that it
 * can forward, 99 in 100 calls over open connections are answered in under a third of an
 * objective of 0.8 s, and over new ones in under a second;
 * without the gate, new connections wait for as long as the load lasts (the load in
 * `daemon/overload_test.ts`).
 */
export class TurnGate {
  readonly #clock: Clock;
  readonly #waiting: (() => void)[] = [];
  #begun = 0;
  #turnMs = 1;
  #turnedMs = 0;

  /** @param clock Source of time; a timer of 0 ms is due in the next turn. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Estimated wait of a call that comes now, in milliseconds. */
  get waitMs(): number {
    return this.#waiting.length * this.#turnMs / CALLS_PER_TURN;
  }

  /**
   * Waits until a call may begin: in this turn, or in a later one, in order.
   *
   * @returns Whether it may; `false`, at once, where it would wait for too long.
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
