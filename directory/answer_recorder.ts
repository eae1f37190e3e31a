import { computeDigest } from "../quarantine/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { RegionId } from "../ids/mod.ts";
import type { EntryAnswer, EntryChoice } from "./pick_entries.ts";

/**
 * Maximum number of pairs of a caller's region and a host whose last answer is
 * remembered. Callers choose both names, so that memory needs a bound.
 */
const MAX_REMEMBERED = 1_024;
/** Maximum length of the key of such a pair, in characters; that of a longer one is a digest. */
const MAX_KEY_LENGTH = 256;

/** An answer given to a caller, with the facts that determined it. */
export interface GivenAnswer extends EntryAnswer {
  /** Region of the caller. */
  readonly region: RegionId;
  /** Host that the caller asked for. */
  readonly host: string;
  /** Version of the configuration in force; 0: none. */
  readonly configurationVersion: number;
  /** Returns the known instances as text for the log. */
  readonly describeMembers: () => string;
}

/** What an {@linkcode AnswerRecorder} writes to. */
export interface AnswerRecorderParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Counts the directory's answers, and logs an answer only if its choice differs from
 * that of the last answer for the same region and host.
 */
export class AnswerRecorder {
  readonly #parts: AnswerRecorderParts;
  readonly #last = new Map<string, EntryChoice>();

  /** @param parts Log and metrics. */
  constructor(parts: AnswerRecorderParts) {
    this.#parts = parts;
  }

  /** Counts an answer that was given, and logs it if its choice has changed. */
  record(given: GivenAnswer): void {
    const { choice, configurationVersion, entries, host, region } = given;
    const { logger, metrics } = this.#parts;
    metrics.count("directory.answers", 1, { choice });
    const key = toRememberedKey(region, host);
    const before = this.#last.get(key) ?? "near";
    if (before === choice) return;
    if (this.#last.size >= MAX_REMEMBERED) this.#last.clear();
    this.#last.set(key, choice);
    logger.info("callers directed", {
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

/** Returns the key of a region and a host; names of callers may be long. */
function toRememberedKey(region: RegionId, host: string): string {
  // `join()` copies the names, which are parts of a longer text.
  const key = [region, host].join(" ");
  return key.length <= MAX_KEY_LENGTH ? key : computeDigest(key);
}
