import { type Clock, waitAndRead } from "../clock/mod.ts";
import type { FleetView } from "../fleet/mod.ts";
import type { Logger } from "../logs/mod.ts";
import {
  computeCloseMs,
  decideShutdownStage,
  isDoneBeforeClose,
  mayExit,
  type ShutdownStage,
  type ShutdownTimes,
} from "./decide_shutdown_stage.ts";

/** Interval between checks for calls in flight, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Constructor arguments of {@linkcode GracefulShutdown}. */
export interface GracefulShutdownParts {
  readonly clock: Clock;
  readonly logger: Logger;
  /** View of the instances, in which this instance is marked as leaving. */
  readonly fleet: FleetView;
  /** Reports the state of this instance to the others at once. */
  readonly sendReports: () => void;
  /** Time from the start of the shutdown until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Stops accepting connections and closes those without a call. */
  readonly stopListening: () => void;
  /** Returns the number of answers that have not been sent completely. */
  readonly countOpenAnswers: () => number;
  /** Returns the number of calls being served, without those that are refused. */
  readonly countActiveCalls: () => number;
}

/** Options of a shutdown that depend on the sockets of an instance. */
export type ShutdownOptions = Pick<
  GracefulShutdownParts,
  "graceMs" | "countOpenAnswers" | "stopListening"
>;

/** Graceful shutdown of an instance, from the signal to the exit of the process. */
export class GracefulShutdown {
  readonly #parts: GracefulShutdownParts;
  readonly #times: ShutdownTimes;
  #stage: ShutdownStage = "accepting";
  #stageSinceMs: number;
  /** Number of calls in flight that were accepted after the first seconds. */
  #lateCalls = 0;

  /** @param parts Ports, grace period and counters of calls in flight. */
  constructor(parts: GracefulShutdownParts) {
    this.#parts = parts;
    this.#stageSinceMs = parts.clock.nowMs();
    this.#times = { startMs: this.#stageSinceMs, graceMs: parts.graceMs };
  }

  /** Which calls are accepted now. */
  get stage(): ShutdownStage {
    return this.#stage;
  }

  /**
   * Reports the shutdown to the other instances, and resolves when no call is in flight or
   * the grace period is nearly over.
   */
  async run(): Promise<void> {
    const {
      clock,
      countOpenAnswers,
      fleet,
      logger,
      stopListening,
      sendReports,
    } = this.#parts;
    const { startMs } = this.#times;
    fleet.setState("leaving", startMs);
    sendReports();
    logger.info("leaving", { inFlight: countOpenAnswers() });
    // A process that is behind would find no call in flight while calls wait in its sockets.
    while (clock.nowMs() < computeCloseMs(this.#times)) {
      await waitAndRead(clock, CHECK_INTERVAL_MS);
      const nowMs = clock.nowMs();
      const openCount = countOpenAnswers();
      this.#updateStage(nowMs);
      const stageMs = nowMs - this.#stageSinceMs;
      if (mayExit({ stage: this.#stage, stageMs, openCount })) break;
    }
    stopListening();
    do {
      await waitAndRead(clock, 0);
    } while (
      countOpenAnswers() > 0 && clock.nowMs() < computeCloseMs(this.#times)
    );
    logger.info("shutdown finished", {
      cutOff: countOpenAnswers(),
      afterMs: Math.round(clock.nowMs() - startMs),
    });
  }

  /**
   * Serves a call that arrived after the first seconds, if it completes before all
   * connections are closed.
   *
   * @param computeDeadlineMs Returns the deadline of the call, in milliseconds.
   * @param serve Serves the call.
   * @returns Whether the call was accepted.
   */
  async serveLateCall(
    computeDeadlineMs: () => number,
    serve: () => Promise<void>,
  ): Promise<boolean> {
    if (this.#stage !== "lingering") return false;
    if (!isDoneBeforeClose(this.#times, computeDeadlineMs())) return false;
    this.#lateCalls++;
    try {
      await serve();
    } finally {
      this.#lateCalls--;
    }
    return true;
  }

  /** Decides which calls are accepted from now on, and reports a change to the other instances. */
  #updateStage(nowMs: number): void {
    const { countActiveCalls, fleet, logger, sendReports } = this.#parts;
    const earlyCalls = countActiveCalls() - this.#lateCalls;
    const hasReadyPeer = fleet.listReady(fleet.self.region, nowMs).length > 0;
    const stage = decideShutdownStage(this.#times, {
      earlyCalls,
      hasReadyPeer,
      nowMs,
    });
    if (stage === this.#stage) return;
    const before = this.#stage;
    logger.info("shutdown stage changed", {
      stage,
      before,
      earlyCalls,
      hasReadyPeer,
    });
    this.#stage = stage;
    this.#stageSinceMs = nowMs;
    const isLingering = stage === "lingering";
    const state = isLingering ? "lingering" : "leaving";
    fleet.setState(state, this.#times.startMs);
    sendReports();
  }
}
