import type { Result } from "neverthrow";
import type { AttemptId, RunKey } from "../ids/mod.ts";
import type { Failure } from "../results/mod.ts";
import type { BeginOutcome, Run, RunEnd } from "./run_record.ts";

/** The journal of non-idempotent runs. */
export interface RunJournal {
  /**
   * Asks to begin a run. Only after `granted` may the attempt be dispatched.
   * A failure means that it must not be, now or later.
   */
  begin(run: Run): Promise<Result<BeginOutcome, Failure>>;
  /** Records the end of a run that was granted. Resolves when it is known to be in, or given up. */
  finish(key: RunKey, attempt: AttemptId, end: RunEnd): Promise<void>;
}
