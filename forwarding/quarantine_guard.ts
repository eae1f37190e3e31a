import type { CallFingerprint } from "../ids/mod.ts";
import type { Logger } from "../logs/mod.ts";
import {
  type CallContent,
  CallQuarantine,
  type HeldCall,
  type ReportedEnds,
} from "../quarantine/mod.ts";
import type { Refusal } from "./refusal.ts";

/** What a guard is created from. */
export interface QuarantineGuardParts {
  readonly logger: Logger;
  /** Keeps a refused call where instances that start later find it. Default: it is kept nowhere. */
  readonly keepRefusedCall?: ((ends: ReportedEnds) => void) | undefined;
}

/** A call that is being served, and how to end that. */
interface UnderWay {
  readonly content: CallContent;
  readonly giveUp: () => void;
}

/** Keeps calls under which servers ended from further servers. */
export class QuarantineGuard {
  readonly quarantine: CallQuarantine;
  readonly #parts: QuarantineGuardParts;
  readonly #underWay = new Set<UnderWay>();

  /** @param parts Who is told of refused calls. */
  constructor(parts: QuarantineGuardParts) {
    this.#parts = parts;
    this.quarantine = new CallQuarantine({
      onHeld: (held) => this.#hold(held),
    });
  }

  /**
   * Notes a call that is being served.
   *
   * @param content The call.
   * @param giveUp Ends its sends.
   * @returns To be called once it is served.
   */
  begin(content: CallContent, giveUp: () => void): () => void {
    const underWay = { content, giveUp };
    this.#underWay.add(underWay);
    return () => void this.#underWay.delete(underWay);
  }

  /**
   * Returns why a call is sent to no server, or `undefined` where it may be. Asked
   * before each send: others may have told of the call since the last one.
   *
   * @param content The call.
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

  /** Keeps all refused calls once more: where they were kept has lost some. */
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

  /** A copy of the call that waits at a server ends it when it begins to run there. */
  #takeBack(call: CallFingerprint): void {
    [...this.#underWay].filter(({ content }) => content.fingerprint === call)
      .forEach(({ giveUp }) => giveUp());
  }
}
