import { type Clock, scheduleAfterReading } from "../clock/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { Logger } from "../logs/mod.ts";
import {
  type DepartureStage,
  type DepartureTimes,
  findEndMs,
  hasDone,
  isOverInTime,
  judgeDeparture,
} from "./judge_departure.ts";

/** Pause between looks at what is in flight, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** A departure goes on to its end. */
const NEVER_CANCELLED = new AbortController().signal;

/** What a departure is created from. */
export interface DepartureParts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly fleet: FleetView;
  /** Tells the other instances at once what this one does. */
  readonly tellOthers: () => void;
  /** Time until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Takes no more connections and closes those without a call. */
  readonly stopListening: () => void;
  /** Returns the answers that are not yet with their callers. */
  readonly countOpen: () => number;
  /** Returns the calls that are being served, without those that are refused. */
  readonly countServed: () => number;
}

/** What differs with the sockets of an instance. */
export type LeaveOptions = Pick<
  DepartureParts,
  "graceMs" | "countOpen" | "stopListening"
>;

/** The leaving of an instance, from its signal to its end. */
export class Departure {
  readonly #parts: DepartureParts;
  readonly #times: DepartureTimes;
  #stage: DepartureStage = "taking";
  #stageSinceMs: number;
  /** Calls in flight that were taken after the first seconds. */
  #lateCalls = 0;

  /** @param parts Who is told, and what is in flight. */
  constructor(parts: DepartureParts) {
    this.#parts = parts;
    this.#stageSinceMs = parts.clock.nowMs();
    this.#times = { sinceMs: this.#stageSinceMs, graceMs: parts.graceMs };
  }

  /** Which calls are taken. */
  get stage(): DepartureStage {
    return this.#stage;
  }

  /** Tells the others, and resolves when what is in flight is done or the grace nearly over. */
  async run(): Promise<void> {
    const { clock, countOpen, fleet, logger, stopListening, tellOthers } =
      this.#parts;
    const { sinceMs } = this.#times;
    fleet.setState("leaving", sinceMs);
    tellOthers();
    logger.info("leaving", { inFlight: countOpen() });
    while (clock.nowMs() < findEndMs(this.#times)) {
      await this.#awaitReading(CHECK_INTERVAL_MS);
      const nowMs = clock.nowMs();
      const openCount = countOpen();
      this.#setStage(nowMs);
      const stageMs = nowMs - this.#stageSinceMs;
      if (hasDone({ stage: this.#stage, stageMs, openCount })) break;
    }
    stopListening();
    do {
      await this.#awaitReading(0);
    } while (countOpen() > 0 && clock.nowMs() < findEndMs(this.#times));
    logger.info("left", {
      cutOff: countOpen(),
      afterMs: Math.round(clock.nowMs() - sinceMs),
    });
  }

  /**
   * Serves a call that came after the first seconds, if it is over before the process
   * ends.
   *
   * @param findDueMs Returns when the time of the call is over.
   * @param serve Serves it.
   * @returns Whether it was taken.
   */
  async serveLate(
    findDueMs: () => number,
    serve: () => Promise<void>,
  ): Promise<boolean> {
    if (this.#stage !== "lingering") return false;
    if (!isOverInTime(this.#times, findDueMs())) return false;
    this.#lateCalls++;
    try {
      await serve();
    } finally {
      this.#lateCalls--;
    }
    return true;
  }

  /**
   * Waits, and lets the loop read what has arrived. Timers run before it: a process
   * that is behind would find nothing in flight beside calls that it has not read.
   */
  #awaitReading(delayMs: number): Promise<void> {
    return new Promise((resolve) =>
      scheduleAfterReading(
        this.#parts.clock,
        delayMs,
        resolve,
        NEVER_CANCELLED,
      )
    );
  }

  /** Judges which calls are taken from now on, and tells the others of a change. */
  #setStage(nowMs: number): void {
    const { countServed, fleet, logger, tellOthers } = this.#parts;
    const awaited = countServed() - this.#lateCalls;
    const hasStandIn = fleet.listReady(fleet.self.region, nowMs).length > 0;
    const stage = judgeDeparture(this.#times, { awaited, hasStandIn, nowMs });
    if (stage === this.#stage) return;
    const before = this.#stage;
    logger.info("takes other calls", { stage, before, awaited, hasStandIn });
    this.#stage = stage;
    this.#stageSinceMs = nowMs;
    const isLingering = stage === "lingering";
    const state = isLingering ? "lingering" : "leaving";
    fleet.setState(state, this.#times.sinceMs);
    tellOthers();
  }
}
