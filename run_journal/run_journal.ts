import type { Result } from "neverthrow";
import type { AttemptId, RunKey } from "../ids/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { BeginOutcome, Run, RunEnd } from "./run_record.ts";

/** A journal that lets each non-idempotent run be dispatched at most once. */
export interface RunJournal {
  /**
   * Asks to begin a run. The attempt may be dispatched only after `granted`.
   * After a failure the attempt must not be dispatched, now or later.
   */
  begin(run: Run): Promise<Result<BeginOutcome, Failure>>;
  /**
   * Records the end of a granted run. Resolves when the store is known to hold
   * the end, or when the journal has given up on recording it.
   */
  finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void>;
}
