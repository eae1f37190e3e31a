import { type Clock, waitFor } from "../clock/mod.ts";
import { runRollout } from "../standin/platform_rollout.ts";
import type { RecordedBadAnswer } from "../standin/recording_server.ts";
import type {
  InterruptedRun,
  ObservedRollout,
  RolloutStatusReading,
} from "./observation.ts";
import { type SoakFleet, WORK_SERVICE } from "./soak_fleet.ts";

/** Collaborators of {@linkcode SoakRollout}. */
export interface SoakRolloutParts {
  readonly fleet: SoakFleet;
  readonly clock: Clock;
  readonly print: (line: string) => void;
}

/** Version that is rolled out. */
const DESTINATION = "v2";
/**
 * Share of its calls that a bad version fails: enough for 50 failures among the calls that it
 * may get.
 */
const BAD_SHARE = 0.5;
/**
 * Time from the registration of the new servers to the order, in milliseconds: long enough to
 * observe calls that reach them without an order.
 */
const ORDER_DELAY_MS = 500;
/** How long the status may come after the time limit, in milliseconds: as long as the faults last, and more. */
const STATUS_DELAY_MS = 6_000;
/** Interval at which the status is read, in milliseconds. */
const STATUS_POLL_MS = 50;

/** One rollout: the platform's part of it, and what is observed. */
export class SoakRollout {
  readonly #parts: SoakRolloutParts;
  readonly #isBad: boolean;
  readonly #durationMs: number;
  readonly #statuses: RolloutStatusReading[] = [];
  #interruptedRuns: readonly InterruptedRun[] = [];
  /** Whether the new servers start or the order is being written. */
  isOrdering = true;
  #orderedFromMs: number | undefined;
  #deadlineMs = Infinity;
  #rolledBackMs: number | undefined;
  #completedMs: number | undefined;

  /**
   * @param parts Fleet, clock and printer.
   * @param order Whether the version is bad, and the time limit.
   */
  constructor(
    parts: SoakRolloutParts,
    { durationMs, isBad }: {
      readonly isBad: boolean;
      readonly durationMs: number;
    },
  ) {
    this.#parts = parts;
    this.#isBad = isBad;
    this.#durationMs = durationMs;
  }

  /** Orders the rollout, and resolves when the platform has acted on its status. */
  async run(): Promise<void> {
    const { clock, fleet, print } = this.#parts;
    const badShare = this.#isBad ? BAD_SHARE : 0;
    const giveUp = new AbortController();
    const end = await runRollout({
      service: WORK_SERVICE,
      destination: DESTINATION,
      durationS: this.#durationMs / 1_000,
    }, {
      operator: fleet.operator,
      clock,
      onOrdered: () => {
        this.isOrdering = false;
        this.#deadlineMs = clock.nowMs() + this.#durationMs;
        void waitFor(clock, this.#durationMs + STATUS_DELAY_MS, fleet.closed)
          .then(() => giveUp.abort("no status"));
      },
      signal: AbortSignal.any([fleet.closed, giveUp.signal]),
      servers: {
        startNew: async () => {
          await fleet.startVersion({ version: DESTINATION, badShare });
          await waitFor(clock, ORDER_DELAY_MS, fleet.closed);
          this.#orderedFromMs = clock.nowMs();
          void this.#watchStatus();
        },
        stopOld: async () => {
          this.#interruptedRuns = await fleet.completeVersion(DESTINATION);
        },
        drainNew: () => fleet.drainVersion(),
      },
    });
    print(
      `rollout: ${end.state} ${Math.round(end.afterMs)} ms after the order`,
    );
  }

  /** Returns what was observed; nothing, if the rollout was not ordered. */
  list(badAnswers: readonly RecordedBadAnswer[]): readonly ObservedRollout[] {
    if (this.#orderedFromMs === undefined) return [];
    return [{
      service: WORK_SERVICE,
      destination: DESTINATION,
      isBad: this.#isBad,
      orderedFromMs: this.#orderedFromMs,
      deadlineMs: this.#deadlineMs,
      rolledBackMs: this.#rolledBackMs,
      completedMs: this.#completedMs,
      badAnswers: badAnswers.filter(({ version }) => version === DESTINATION),
      statuses: this.#statuses,
      interruptedRuns: this.#interruptedRuns,
    }];
  }

  /** Reads the status until the end of the run, also after the end of the rollout. */
  async #watchStatus(): Promise<void> {
    const { clock, fleet } = this.#parts;
    while (!fleet.closed.aborted) {
      const status = await fleet.operator.readRolloutStatus(WORK_SERVICE);
      const atMs = clock.nowMs();
      if (status !== undefined) this.#statuses.push({ atMs, ...status });
      if (status?.state === "rolled_back") this.#rolledBackMs ??= atMs;
      if (status?.state === "completed") this.#completedMs ??= atMs;
      await waitFor(clock, STATUS_POLL_MS, fleet.closed);
    }
  }
}
