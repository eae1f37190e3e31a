import type { Random } from "../clock/mod.ts";

/** State of a circuit. */
export type CircuitState =
  | { readonly kind: "closed"; readonly failures: number }
  | {
    readonly kind: "open";
    readonly tries: number;
    readonly retryAtMs: number;
  }
  | { readonly kind: "half-open"; readonly tries: number };

/** What a circuit learns from. */
export type CircuitEvent =
  | { readonly kind: "succeeded" }
  | { readonly kind: "failed"; readonly nowMs: number };

const FAILURES_TO_OPEN = 3;
const FIRST_PAUSE_MS = 200;
const LONGEST_PAUSE_MS = 5_000;

/** The state of a circuit before the first call. */
export const CLOSED_CIRCUIT: CircuitState = { kind: "closed", failures: 0 };

/**
 * Returns the next state of a circuit. It opens after three failures in a row;
 * the pause before a probe doubles up to 5 s and is jittered in full, so that
 * daemons do not come back together.
 *
 * @param state State before.
 * @param event What happened.
 * @param random Source of the jitter.
 */
export function applyCircuitEvent(
  state: CircuitState,
  event: CircuitEvent,
  random: Random,
): CircuitState {
  if (event.kind === "succeeded") return CLOSED_CIRCUIT;
  if (state.kind === "closed" && state.failures + 1 < FAILURES_TO_OPEN) {
    return { kind: "closed", failures: state.failures + 1 };
  }
  const tries = state.kind === "closed" ? 0 : state.tries + 1;
  const longestMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** tries);
  const pauseMs = longestMs * (0.5 + random.nextFloat() / 2);
  return { kind: "open", tries, retryAtMs: event.nowMs + pauseMs };
}

/**
 * Decides whether a call may go out, and with which state.
 *
 * @param state State before.
 * @param nowMs Time now.
 * @returns The state to keep; a call may go out unless it is `open`. While it
 *   is `half-open`, only the call that made it so is out.
 */
export function admitCall(
  state: CircuitState,
  nowMs: number,
): { readonly isAdmitted: boolean; readonly state: CircuitState } {
  if (state.kind === "closed") return { isAdmitted: true, state };
  if (state.kind === "half-open" || nowMs < state.retryAtMs) {
    return { isAdmitted: false, state };
  }
  return { isAdmitted: true, state: { kind: "half-open", tries: state.tries } };
}
