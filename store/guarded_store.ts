import { err, type Result } from "neverthrow";
import { type Clock, type Random, waitFor } from "../clock/mod.ts";
import {
  admitCall,
  applyCircuitEvent,
  type CircuitState,
  CLOSED_CIRCUIT,
} from "./circuit.ts";
import type { StoreBudget } from "./store_budget.ts";
import type {
  Store,
  StoreCallClass,
  StoreCallOptions,
  StoreEntry,
  StoreEvent,
  StoreFailure,
  StoreResult,
  Swap,
  SwapOutcome,
} from "./store.ts";

/** Constructor arguments of {@linkcode GuardedStore}. */
export interface GuardedStoreParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly budget: StoreBudget;
}

/** Options of {@linkcode GuardedStore}. */
export interface GuardedStoreOptions {
  /** Maximum duration of a call, in milliseconds. Default: 1,500. */
  readonly deadlineMs?: number;
  /** Called with the new state when that of the circuit breaker changes. Default: no-op. */
  readonly onCircuit?: (state: CircuitState["kind"]) => void;
}

const DEFAULT_DEADLINE_MS = 1_500;
/**
 * Maximum time for which a call waits for the budget, by class, in milliseconds. Callers
 * wait for journal writes, so that time is short; batches can wait longer.
 */
const MAX_BUDGET_WAIT_MS: Readonly<Record<StoreCallClass, number>> = {
  journal: 300,
  lease: 300,
  configuration: 300,
  batch: 3_000,
  usage: 0,
};
const BUDGET_POLL_INTERVAL_MS = 30;

/**
 * The only store client of a daemon. Every call has a deadline and takes from the
 * budget, and is refused at once while the circuit breaker is open.
 */
export class GuardedStore implements Store {
  readonly #parts: GuardedStoreParts;
  readonly #deadlineMs: number;
  readonly #onCircuit: (state: CircuitState["kind"]) => void;
  #circuit: CircuitState = CLOSED_CIRCUIT;
  #probe: Promise<void> = Promise.resolve();

  /**
   * @param parts Store, clock, random source and budget.
   * @param options Deadline of calls and observer of the circuit breaker.
   */
  constructor(parts: GuardedStoreParts, options: GuardedStoreOptions = {}) {
    this.#parts = parts;
    this.#deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    this.#onCircuit = options.onCircuit ?? (() => {});
  }

  /** Whether the store counts as reachable: the circuit breaker is closed. */
  get isReachable(): boolean {
    return this.#circuit.kind === "closed";
  }

  read(
    key: string,
    options: StoreCallOptions = {},
  ): StoreResult<StoreEntry | undefined> {
    return this.#call(options, (store) => store.read(key, options));
  }

  readPrefix(
    prefix: string,
    options: StoreCallOptions = {},
  ): StoreResult<readonly StoreEntry[]> {
    return this.#call(options, (store) => store.readPrefix(prefix, options));
  }

  swap(swap: Swap, options: StoreCallOptions = {}): StoreResult<SwapOutcome> {
    return this.#call(options, (store) => store.swap(swap, options));
  }

  grantLease(
    ttlMs: number,
    options: StoreCallOptions = {},
  ): StoreResult<string> {
    return this.#call(options, (store) => store.grantLease(ttlMs, options));
  }

  renewLease(
    leaseId: string,
    options: StoreCallOptions = {},
  ): StoreResult<boolean> {
    return this.#call(options, (store) => store.renewLease(leaseId, options));
  }

  revokeLease(
    leaseId: string,
    options: StoreCallOptions = {},
  ): StoreResult<void> {
    return this.#call(options, (store) => store.revokeLease(leaseId, options));
  }

  watch(prefix: string, signal: AbortSignal): AsyncIterable<StoreEvent> {
    return this.#parts.store.watch(prefix, signal);
  }

  async #call<T>(
    options: StoreCallOptions,
    run: (store: Store) => StoreResult<T>,
  ): StoreResult<T> {
    const { clock, store } = this.#parts;
    // While one call probes an unreachable store, the others wait for its outcome.
    if (this.#circuit.kind === "half-open") await this.#probe;
    const admission = admitCall(this.#circuit, clock.nowMs());
    if (!admission.isAdmitted) {
      return err({
        kind: "unavailable",
        message: "Cannot reach the store: the circuit is open",
      });
    }
    if (!await this.#waitForBudget(options.callClass ?? "configuration")) {
      return err({
        kind: "over-budget",
        message: "Cannot call the store: the budget is spent",
      });
    }
    this.#setCircuit(admission.state);
    const answered = this.#awaitWithDeadline(run(store)).then((result) => {
      this.#recordOutcome(result);
      return result;
    });
    if (admission.state.kind === "half-open") {
      this.#probe = answered.then(() => {});
    }
    return await answered;
  }

  /** Waits for the budget up to the maximum of the class; returns whether the call may be sent. */
  async #waitForBudget(callClass: StoreCallClass): Promise<boolean> {
    const { budget, clock } = this.#parts;
    const startMs = clock.nowMs();
    while (!budget.admit(callClass, clock.nowMs())) {
      if (clock.nowMs() - startMs >= MAX_BUDGET_WAIT_MS[callClass]) {
        return false;
      }
      await waitFor(clock, BUDGET_POLL_INTERVAL_MS);
    }
    return true;
  }

  async #awaitWithDeadline<T>(call: StoreResult<T>): StoreResult<T> {
    const timer = new AbortController();
    const timeout = waitFor(this.#parts.clock, this.#deadlineMs, timer.signal)
      .then(() =>
        err<T, StoreFailure>({
          kind: "unknown",
          message: "Cannot await the store: deadline passed",
        })
      );
    const result = await Promise.race([call, timeout]);
    timer.abort("answered");
    return result;
  }

  #recordOutcome<T>(result: Result<T, StoreFailure>): void {
    const { clock, random } = this.#parts;
    if (result.isErr() && result.error.kind === "too-large") return;
    const event = result.isOk()
      ? { kind: "succeeded" } as const
      : { kind: "failed", nowMs: clock.nowMs() } as const;
    this.#setCircuit(applyCircuitEvent(this.#circuit, event, random));
  }

  #setCircuit(state: CircuitState): void {
    const before = this.#circuit.kind;
    this.#circuit = state;
    if (before !== state.kind) this.#onCircuit(state.kind);
  }
}
