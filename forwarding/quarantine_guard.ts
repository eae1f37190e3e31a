import type { CallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import {
  type CallContent,
  CallQuarantine,
  type HeldCall,
  type ReportedEnds,
} from "../quarantine/mod.ts";
import type { Refusal } from "./refusal.ts";

/** What a `QuarantineGuard` is created from. */
export interface QuarantineGuardParts {
  readonly logger: Logger;
  /** Stores a quarantined call where instances that start later find it. Default: it isn't stored. */
  readonly keepRefusedCall?: ((ends: ReportedEnds) => void) | undefined;
}

/** A call that is being served, and a function that aborts it. */
interface UnderWay {
  readonly content: CallContent;
  readonly giveUp: () => void;
}

/** Keeps calls that crashed servers from being sent to more of them. */
export class QuarantineGuard {
  readonly quarantine: CallQuarantine;
  readonly #parts: QuarantineGuardParts;
  readonly #underWay = new Set<UnderWay>();

  /** @param parts Log and store for quarantined calls. */
  constructor(parts: QuarantineGuardParts) {
    this.#parts = parts;
    this.quarantine = new CallQuarantine({
      onHeld: (held) => this.#hold(held),
    });
  }

  /**
   * Records a call that is being served.
   *
   * @param content Content of the call.
   * @param giveUp Aborts all sends of the call.
   * @returns A function to call once the call has been served.
   */
  begin(content: CallContent, giveUp: () => void): () => void {
    const underWay = { content, giveUp };
    this.#underWay.add(underWay);
    return () => void this.#underWay.delete(underWay);
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
    const heldMs = this.quarantine.readHeldMs(content, nowMs);
    if (heldMs <= 0) return undefined;
    return {
      reason: "quarantined",
      message: "Servers ended under this call",
      retryAfterMs: heldMs,
    };
  }

  /** Stores all quarantined calls again, after the store has lost some. */
  keepAgain(nowMs: number): void {
    const { heldCount } = this.quarantine;
    this.quarantine.listHeldInTurn(heldCount, nowMs)
      .forEach((ends) => this.#parts.keepRefusedCall?.(ends));
  }

  #hold(held: HeldCall): void {
    const { keepRefusedCall, logger } = this.#parts;
    const { call, isSeenHere, servers } = held;
    logger.warn("call quarantined", {
      content: call,
      servers: servers.join(" "),
      isSeenHere,
    });
    this.#takeBack(call);
    if (isSeenHere) keepRefusedCall?.(held);
  }

  /** Aborts all copies of a call: one that waits at a server would crash it when it begins to run. */
  #takeBack(call: CallFingerprint): void {
    [...this.#underWay].filter(({ content }) => content.fingerprint === call)
      .forEach(({ giveUp }) => giveUp());
  }
}
