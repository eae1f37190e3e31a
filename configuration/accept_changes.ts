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

/** What accepting a change needs. */
export interface AcceptParts {
  readonly store: Store;
  readonly state: ConfigurationState;
  readonly clock: Clock;
  readonly random: Random;
  readonly instance: string;
}

/** A change as it arrives. */
export interface ChangeRequest {
  readonly operator: string;
  readonly changes: readonly RequestedChange[];
  /** Only check it. Default: `false`. */
  readonly isDryRun?: boolean;
}

/** An accepted change. */
export interface AcceptedChange {
  /** Sequence number; in a dry run the one in force. */
  readonly sequence: number;
  readonly changes: readonly ResourceChange[];
}

const MAX_TRIES = 20;
/** Pauses for the budget of store calls: a burst is spread, not refused. */
const MAX_WAITS = 100;
const BUDGET_PAUSE_MS = 100;
/** Pause after a lost race, for each try before it; jittered in full. */
const RACE_PAUSE_MS = 10;

/**
 * Accepts an operator's change: validates it against the newest configuration
 * and appends it with its audit entry in one compare-and-swap. Where another
 * change came first, that one is applied and this one is validated again.
 *
 * @param parts Store, state, clock, random source and own name.
 * @param request Who wants what.
 * @returns The change in force here, or why not.
 */
export async function acceptChanges(
  parts: AcceptParts,
  request: ChangeRequest,
): Promise<Result<AcceptedChange, Failure>> {
  const { state, store } = parts;
  const changeId = createToken(parts.random);
  let waits = 0;
  for (let attempt = 0; attempt < MAX_TRIES; attempt++) {
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
      waits < MAX_WAITS
    ) {
      waits++;
      attempt--;
      await waitFor(parts.clock, BUDGET_PAUSE_MS);
      continue;
    }
    if (written.isErr()) return err(toWriteFailure(written.error));
    if (written.value.kind === "appended") {
      state.apply(entry);
      return ok({ sequence: entry.sequence, changes });
    }
    await waitFor(
      parts.clock,
      parts.random.nextFloat() * attempt * RACE_PAUSE_MS,
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
      `Cannot apply: ${MAX_TRIES} other changes came first`,
    ),
  );
}

/**
 * Applies every entry of the log that is not yet in force.
 *
 * @param store The store.
 * @param state The configuration of this daemon.
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
