import { err, ok, type Result } from "neverthrow";
import { type Clock, createToken, type Random, waitFor } from "../clock/mod.ts";
import {
  type ConfigurationEntry,
  type RequestedChange,
  type ResourceChange,
  validateChanges,
} from "../resources/mod.ts";
import { createFailure, type Failure } from "../results/mod.ts";
import type { Store, StoreFailure } from "../store/mod.ts";
import { readEntriesAfter, writeEntry } from "./configuration_log.ts";
import type { ConfigurationState } from "./configuration_state.ts";

/** What {@linkcode acceptChanges} needs. */
export interface AcceptParts {
  readonly store: Store;
  readonly state: ConfigurationState;
  readonly clock: Clock;
  readonly random: Random;
  readonly instance: string;
}

/** Changes that an operator requests. */
export interface ChangeRequest {
  readonly operator: string;
  readonly changes: readonly RequestedChange[];
  /** Whether to validate the changes only. Default: `false`. */
  readonly isDryRun?: boolean;
}

/** Changes that were accepted. */
export interface AcceptedChange {
  /** Sequence number of the changes; in a dry run, the one in force. */
  readonly sequence: number;
  readonly changes: readonly ResourceChange[];
}

const MAX_ATTEMPTS = 20;
/**
 * Maximum number of waits for the budget of store calls: a burst of changes is
 * spread over time instead of refused.
 */
const MAX_BUDGET_WAITS = 100;
const BUDGET_WAIT_MS = 100;
/**
 * Maximum delay after another change came first, for each earlier attempt; the
 * actual delay has full jitter.
 */
const CONFLICT_BACKOFF_MS = 10;

/**
 * Accepts an operator's changes: validates them against the newest configuration
 * and appends them with their audit entry in one compare-and-swap. If another
 * change came first, applies that one and validates these again.
 *
 * @param parts Store, state, clock, random source and the name of this instance.
 * @param request Changes and the operator who requests them.
 * @returns The changes, in force at this instance, or why they were refused.
 */
export async function acceptChanges(
  parts: AcceptParts,
  request: ChangeRequest,
): Promise<Result<AcceptedChange, Failure>> {
  const { state, store } = parts;
  const changeId = createToken(parts.random);
  let budgetWaits = 0;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const validated = validateChanges(state.catalog, request.changes);
    if (validated.isErr()) return err(validated.error);
    const changes = validated.value;
    if (request.isDryRun) return ok({ sequence: state.sequence, changes });
    const entry: ConfigurationEntry = {
      sequence: state.sequence + 1,
      changeId,
      acceptedMs: Math.round(parts.clock.nowMs()),
      operator: request.operator,
      instance: parts.instance,
      changes,
    };
    const written = await writeEntry(store, entry);
    if (
      written.isErr() && written.error.kind === "over-budget" &&
      budgetWaits < MAX_BUDGET_WAITS
    ) {
      budgetWaits++;
      attempt--;
      await waitFor(parts.clock, BUDGET_WAIT_MS);
      continue;
    }
    if (written.isErr()) return err(toWriteFailure(written.error));
    if (written.value.kind === "appended") {
      state.apply(entry);
      return ok({ sequence: entry.sequence, changes });
    }
    await waitFor(
      parts.clock,
      parts.random.nextFloat() * attempt * CONFLICT_BACKOFF_MS,
    );
    const caughtUp = await catchUp(store, state);
    if (caughtUp.isErr()) return err(toWriteFailure(caughtUp.error));
    if (caughtUp.value.find((found) => found.changeId === changeId)) {
      return ok({ sequence: entry.sequence, changes });
    }
  }
  return err(
    createFailure(
      "CONFLICT",
      `Cannot apply: ${MAX_ATTEMPTS} other changes came first`,
    ),
  );
}

/**
 * Applies every entry of the log that is not yet in force.
 *
 * @param store The store.
 * @param state Configuration of this instance.
 * @returns The entries that were read.
 */
export async function catchUp(
  store: Store,
  state: ConfigurationState,
): Promise<Result<readonly ConfigurationEntry[], StoreFailure>> {
  const entries = await readEntriesAfter(store, state.sequence);
  if (entries.isErr()) return err(entries.error);
  entries.value.forEach((entry) => state.apply(entry));
  state.markLoaded();
  return ok(entries.value);
}

function toWriteFailure(failure: StoreFailure): Failure {
  if (failure.kind === "unknown") {
    return createFailure("WRITE_UNKNOWN", failure.message);
  }
  return createFailure("STORE_UNAVAILABLE", failure.message, {
    retryAfterMs: 2_000,
  });
}
