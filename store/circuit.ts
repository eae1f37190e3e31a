import type { Random } from "../clock/mod.ts";

/** State of a circuit breaker. */
export type CircuitState =
  | { readonly kind: "closed"; readonly failures: number }
  | {
    readonly kind: "open";
    readonly tries: number;
    readonly retryAtMs: number;
  }
  | { readonly kind: "half-open"; readonly tries: number };

/** Outcome of a call through a circuit breaker. */
export type CircuitEvent =
  | { readonly kind: "succeeded" }
  | { readonly kind: "failed"; readonly nowMs: number };

const FAILURES_TO_OPEN = 3;
const INITIAL_PAUSE_MS = 200;
const MAX_PAUSE_MS = 5_000;

/** State of a circuit breaker before the first call. */
export const CLOSED_CIRCUIT: CircuitState = { kind: "closed", failures: 0 };

/**
 * Returns the next state of a circuit breaker. It opens after three consecutive
 * failures. The pause before a probe doubles up to 5 s, and is jittered down to half
 * of that so that daemons do not retry at the same time.
 *
 * @param state State before the call.
 * @param event Outcome of the call.
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
  const maxPauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** tries);
  const pauseMs = maxPauseMs * (0.5 + random.nextFloat() / 2);
  return { kind: "open", tries, retryAtMs: event.nowMs + pauseMs };
}

/**
 * Decides whether a call may be sent, and returns the state that results.
 *
 * @param state State before the call.
 * @param nowMs Current time, in milliseconds.
 * @returns Whether the call is admitted, and the state to keep. In the state
 *   `half-open`, only the call that caused it is in progress.
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
