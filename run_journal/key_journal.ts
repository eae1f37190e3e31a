import { err, ok, type Result } from "neverthrow";
import { type Clock, createToken, type Random } from "../clock/mod.ts";
import {
  type AttemptId,
  type ChangeId,
  type Incarnation,
  type RunKey,
  toChangeId,
} from "../ids/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import { type ChangeLog, type Store, writeChange } from "../store/mod.ts";
import type { RunJournal } from "./run_journal.ts";
import {
  applyEnd,
  type BeginOutcome,
  decideBegin,
  type Run,
  type RunEnd,
  type RunRecord,
} from "./run_record.ts";

interface RunDocument extends RunRecord, ChangeLog {}

/** What a {@linkcode KeyJournal} is created from. */
export interface KeyJournalParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns whether a holder is known to be dead. */
  readonly isDead: (holder: Incarnation) => boolean;
}

const KEY_PREFIX = "/havenspur/journal/key/";

/**
 * A run journal with one key in the store for each run, which takes two writes a
 * run. It is the baseline that the sharded journal is compared with.
 */
export class KeyJournal implements RunJournal {
  readonly #parts: KeyJournalParts;

  /** @param parts Store, clock, random source and which holders are dead. */
  constructor(parts: KeyJournalParts) {
    this.#parts = parts;
  }

  async begin(run: Run): Promise<Result<BeginOutcome, Failure>> {
    const { store, clock, isDead } = this.#parts;
    const changeId = this.#createChangeId();
    let decision: BeginOutcome | undefined;
    const written = await writeChange<RunDocument>(store, {
      key: KEY_PREFIX + run.key,
      changeId,
      // Most runs are new, so this creates the key without reading it first.
      known: { document: undefined, revision: 0 },
      update: (existing) => {
        const decided = decideBegin(existing, run, clock.nowMs(), { isDead });
        decision = decided.kind === "claim" ? undefined : decided;
        if (decided.kind !== "claim") return undefined;
        return { ...run, begunMs: clock.nowMs(), end: undefined };
      },
    }, { callClass: "journal" });
    if (written.isErr()) {
      const message = `Cannot journal the run: ${written.error.message}`;
      return err(
        createFailure("JOURNAL_UNAVAILABLE", message, { retryAfterMs: 1_000 }),
      );
    }
    if (written.value.kind === "written") return ok({ kind: "granted" });
    return ok(decision!);
  }

  async finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void> {
    await writeChange<RunDocument>(this.#parts.store, {
      key: KEY_PREFIX + key,
      changeId: this.#createChangeId(),
      update: (existing) => applyEnd(existing, attempt, end),
    }, { callClass: "journal" });
  }

  #createChangeId(): ChangeId {
    return toChangeId(createToken(this.#parts.random));
  }
}
