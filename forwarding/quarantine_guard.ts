import type { CallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import {
  type CallContent,
  CallQuarantine,
  type CrashReport,
  type QuarantinedCall,
} from "../quarantine/mod.ts";
import type { Refusal } from "./refusal.ts";

/** What a `QuarantineGuard` is created from. */
export interface QuarantineGuardParts {
  readonly logger: Logger;
  /** Stores a quarantined call where instances that start later find it. Default: it isn't stored. */
  readonly storeQuarantinedCall?: ((report: CrashReport) => void) | undefined;
}

/** A call that is being served, and a function that aborts it. */
interface ActiveCall {
  readonly content: CallContent;
  readonly abort: () => void;
}

/** Keeps calls that crashed servers from being sent to more of them. */
export class QuarantineGuard {
  readonly quarantine: CallQuarantine;
  readonly #parts: QuarantineGuardParts;
  readonly #activeCalls = new Set<ActiveCall>();

  /** @param parts Log and store for quarantined calls. */
  constructor(parts: QuarantineGuardParts) {
    this.#parts = parts;
    this.quarantine = new CallQuarantine({
      onQuarantined: (quarantined) => this.#handleQuarantined(quarantined),
    });
  }

  /**
   * Records a call that is being served.
   *
   * @param content Content of the call.
   * @param abort Aborts all sends of the call.
   * @returns A function to call once the call has been served.
   */
  begin(content: CallContent, abort: () => void): () => void {
    const activeCall = { content, abort };
    this.#activeCalls.add(activeCall);
    return () => void this.#activeCalls.delete(activeCall);
  }

  /**
   * Returns the refusal of a call that is quarantined, or `undefined`. It has to be
   * checked before each send, as another instance may have reported the call since the
   * last one.
   *
   * @param content Content of the call.
   * @param nowMs Time now.
   */
  findRefusal(content: CallContent, nowMs: number): Refusal | undefined {
    const quarantinedMs = this.quarantine.readRemainingQuarantineMs(
      content,
      nowMs,
    );
    if (quarantinedMs <= 0) return undefined;
    return {
      reason: "quarantined",
      message: "Servers ended under this call",
      retryAfterMs: quarantinedMs,
    };
  }

  /** Stores all quarantined calls again, after the store has lost some. */
  storeAllAgain(nowMs: number): void {
    const { quarantinedCount } = this.quarantine;
    this.quarantine.listQuarantinedInRotation(quarantinedCount, nowMs)
      .forEach((report) => this.#parts.storeQuarantinedCall?.(report));
  }

  #handleQuarantined(quarantined: QuarantinedCall): void {
    const { storeQuarantinedCall, logger } = this.#parts;
    const { call, isSeenHere, servers } = quarantined;
    logger.warn("call quarantined", {
      content: call,
      servers: servers.join(" "),
      isSeenHere,
    });
    this.#abortCopies(call);
    if (isSeenHere) storeQuarantinedCall?.(quarantined);
  }

  /** Aborts all copies of a call: one that waits at a server would crash it when it begins to run. */
  #abortCopies(call: CallFingerprint): void {
    [...this.#activeCalls].filter(({ content }) => content.fingerprint === call)
      .forEach(({ abort }) => abort());
  }
}
