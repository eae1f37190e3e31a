import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import type { EntryAnswer, EntryChoice } from "./pick_entries.ts";

/**
 * Pairs of a caller's region and a host whose last answer is remembered at the most:
 * callers choose the names, and memory must stay bounded.
 */
const MAX_REMEMBERED = 1_024;

/** An answer with what decided it. */
export interface GivenAnswer extends EntryAnswer {
  /** Region of the caller. */
  readonly region: RegionId;
  /** Which host it wants to call. */
  readonly host: string;
  /** Version of the configuration in force; 0: none. */
  readonly configurationVersion: number;
  /** Returns who is known to run, for the log. */
  readonly describeMembers: () => string;
}

/** Where answers are told. */
export interface AnswerRecorderParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Counts what callers are told, and logs it whenever it changes for the callers of
 * a region and a host: one line for many equal answers.
 */
export class AnswerRecorder {
  readonly #parts: AnswerRecorderParts;
  readonly #last = new Map<string, EntryChoice>();

  /** @param parts Log and metrics. */
  constructor(parts: AnswerRecorderParts) {
    this.#parts = parts;
  }

  /** Takes an answer that was given. */
  record(given: GivenAnswer): void {
    const { choice, configurationVersion, entries, host, region } = given;
    const { logger, metrics } = this.#parts;
    metrics.count("directory.answers", 1, { choice });
    const key = `${region} ${host}`;
    const before = this.#last.get(key) ?? "near";
    if (before === choice) return;
    if (this.#last.size >= MAX_REMEMBERED) this.#last.clear();
    this.#last.set(key, choice);
    logger.info("callers led", {
      region,
      host,
      choice,
      before,
      entries: entries.map(({ id }) => id).join(" "),
      configuration: configurationVersion,
      members: given.describeMembers(),
    });
  }
}
