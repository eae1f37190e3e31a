import {
  type CallQuarantine,
  EndsQueue,
  type ReportedEnds,
} from "../quarantine/mod.ts";

/** To whom a report goes. */
export type EndsScope = "near" | "region" | "summary";

/** Rows that one report names at the most: it stays within one packet. */
const MAX_ROWS = 16;
/**
 * One report in so many names a refused call beside those, in turn: about one a second,
 * whichever way the reports go.
 */
const HELD_EVERY_REPORTS: Readonly<Record<EndsScope, number>> = {
  near: 8,
  region: 4,
  summary: 8,
};
/** Refused calls that an answer to one who asks names at the most. */
const HELD_PER_ANSWER = 16;

/**
 * What reports tell of calls under which servers ended. Each scope tells what is new
 * on its own way; and since whoever starts, or was cut off, must not send such calls
 * anew, a report now and then names a refused call as long as there are any.
 */
export class EndsNews {
  readonly #quarantine: CallQuarantine;
  readonly #queues: Readonly<Record<EndsScope, EndsQueue>> = {
    near: new EndsQueue(),
    region: new EndsQueue(),
    summary: new EndsQueue(),
  };
  readonly #reports: Record<EndsScope, number> = {
    near: 0,
    region: 0,
    summary: 0,
  };

  /** @param quarantine What is told, and what is learned. */
  constructor(quarantine: CallQuarantine) {
    this.#quarantine = quarantine;
  }

  /** Takes up what this instance itself saw, for all scopes. */
  gather(nowMs: number): void {
    const untold = this.#quarantine.takeUntold();
    Object.values(this.#queues).forEach((queue) => queue.add(untold, nowMs));
  }

  /**
   * Takes what another instance tells.
   *
   * @param ends Its rows.
   * @param nowMs Time now.
   * @param passOn Who is to be told of it as well.
   */
  learn(
    ends: readonly ReportedEnds[],
    nowMs: number,
    passOn: readonly EndsScope[],
  ): void {
    const learned = this.#quarantine.learn(ends, nowMs);
    passOn.forEach((scope) => this.#queues[scope].add(learned, nowMs));
  }

  /** Takes the rows of a report. */
  take(scope: EndsScope, nowMs: number): readonly ReportedEnds[] {
    const isTurn = this.#reports[scope]++ % HELD_EVERY_REPORTS[scope] === 0;
    return [
      ...this.#queues[scope].take(MAX_ROWS, nowMs),
      ...this.#quarantine.listHeldInTurn(isTurn ? 1 : 0, nowMs),
    ];
  }

  /** Returns the rows of an answer to an instance that asks what it missed. */
  listForAnswer(nowMs: number): readonly ReportedEnds[] {
    return this.#quarantine.listHeldInTurn(HELD_PER_ANSWER, nowMs);
  }
}
