import type { CallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import {
  CallQuarantine,
  type CrashReport,
  isPartFingerprint,
  type QuarantineEvent,
} from "../quarantine/mod.ts";
import type { Exchange } from "./exchange.ts";
import type { Refusal } from "./refusal.ts";

/** What a `QuarantineGuard` is created from. */
export interface QuarantineGuardParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Returns the place of this instance in the order in which instances try a quarantined call.
   * Default: 0, as if it were the only one.
   */
  readonly rankSelf?: (call: CallFingerprint) => number;
  /** Stores a quarantined call where instances that start later find it. Default: it isn't stored. */
  readonly storeQuarantinedCall?: ((report: CrashReport) => void) | undefined;
  /** Removes a released call from where it is stored. Default: does nothing. */
  readonly removeQuarantinedCall?:
    | ((call: CallFingerprint) => void)
    | undefined;
}

/** What the guard reads and changes of a call that is being served. */
export type GuardedExchange = Pick<
  Exchange,
  "content" | "facts" | "isTrial" | "mayHaveRun" | "progress"
>;

/** A call that is being served, and a function that aborts it. */
interface ActiveCall {
  readonly exchange: GuardedExchange;
  readonly abort: () => void;
}

/** Keeps calls that crashed servers from being sent to more of them. */
export class QuarantineGuard {
  readonly quarantine: CallQuarantine;
  readonly #parts: QuarantineGuardParts;
  readonly #activeCalls = new Set<ActiveCall>();

  /** @param parts Log, metrics, order of trials, and store for quarantined calls. */
  constructor(parts: QuarantineGuardParts) {
    this.#parts = parts;
    this.quarantine = new CallQuarantine({
      ...parts,
      onChange: (event) => this.#handleChange(event),
    });
  }

  /**
   * Records a call that is being served.
   *
   * @param exchange The call.
   * @param abort Aborts all sends of the call.
   * @returns A function to call once the call has been served.
   */
  begin(exchange: GuardedExchange, abort: () => void): () => void {
    const activeCall = { exchange, abort };
    this.#activeCalls.add(activeCall);
    return () => void this.#activeCalls.delete(activeCall);
  }

  /**
   * Returns the refusal of a call that is quarantined, or `undefined` if it may be sent. It has
   * to be checked before each send. A call that is sent as a trial is marked as such.
   *
   * @param exchange The call.
   * @param nowMs Time now.
   */
  findRefusal(exchange: GuardedExchange, nowMs: number): Refusal | undefined {
    if (exchange.isTrial && !exchange.mayHaveRun) return undefined;
    const verdict = this.quarantine.admit(exchange.content, nowMs);
    switch (verdict.kind) {
      case "clear":
        return undefined;
      case "trial":
        exchange.isTrial = true;
        this.#recordTrial(exchange);
        return undefined;
      case "refused":
        return {
          reason: "quarantined",
          message: `Servers crashed during calls with ${verdict.call}`,
          retryAfterMs: verdict.retryAfterMs,
        };
    }
  }

  /** Stores all quarantined calls again, after the store has lost some. */
  storeAllAgain(nowMs: number): void {
    const { quarantinedCount } = this.quarantine;
    this.quarantine.listQuarantinedInRotation(quarantinedCount, nowMs)
      .forEach((report) => this.#parts.storeQuarantinedCall?.(report));
  }

  #recordTrial({ content, facts }: GuardedExchange): void {
    const { logger, metrics } = this.#parts;
    metrics.count("quarantine.trials");
    logger.info("quarantined call tried", {
      call: facts.callId,
      content: content.fingerprint,
      parts: content.partFingerprints.join(" "),
    });
  }

  #handleChange(event: QuarantineEvent): void {
    const { logger, removeQuarantinedCall, storeQuarantinedCall } = this.#parts;
    const { isSeenHere } = event;
    if (event.kind === "released") {
      logger.info("call released", { content: event.call, isSeenHere });
      if (isSeenHere) removeQuarantinedCall?.(event.call);
      return;
    }
    const { kind, next, report } = event;
    const { call, failedTrials = 0, servers } = report;
    logger.warn(kind === "quarantined" ? "call quarantined" : "trial failed", {
      content: call,
      servers: servers.join(" "),
      crashes: servers.length,
      failedTrials,
      isSeenHere,
      // Shows why the call is taken for the cause, and not another one.
      ...(next === undefined
        ? {}
        : { nextContent: next.call, nextCrashes: next.servers.size }),
    });
    if (isSeenHere) storeQuarantinedCall?.(report);
    if (kind === "quarantined") this.#abortCopies(call);
  }

  /**
   * Aborts all calls that are alike: one that waits at a server would crash it when it begins to
   * run. Calls that share only a prompt part, and whose answers have begun, go on: they show
   * whether the part is harmless.
   */
  #abortCopies(call: CallFingerprint): void {
    const isPart = isPartFingerprint(call);
    [...this.#activeCalls].filter(({ exchange }) =>
      exchange.content.fingerprints.includes(call) &&
      !exchange.isTrial && !(isPart && exchange.progress.hasBegun)
    ).forEach(({ abort }) => abort());
  }
}
