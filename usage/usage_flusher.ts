import type { Result } from "neverthrow";
import type { ChangeId } from "../ids/mod.ts";
import {
  type ChangeLog,
  type Store,
  type StoreFailure,
  writeChange,
} from "../store/mod.ts";
import { addTotals, subtractTotals, type UsageTotals } from "./usage_meter.ts";

/** Cumulative counters of one incarnation in the store. */
export interface UsageDocument extends ChangeLog {
  readonly totals: UsageTotals;
  readonly flushedMs: number;
  /** Folded or about to be: nothing more may be written to it. */
  readonly isSealed: boolean;
}

/** Prefix of the counters of incarnations. */
export const LIVE_USAGE_PREFIX = "/havenspur/usage/live/";

/** What a flusher is created from. */
export interface UsageFlusherParts {
  readonly store: Store;
  readonly incarnation: string;
  readonly createChangeId: () => ChangeId;
}

/**
 * Writes the cumulative counters of one incarnation. Each flush overwrites the
 * last, so that repeating one changes nothing. Where another instance has sealed
 * the document, what it holds is left to be folded, and a new part begins.
 */
export class UsageFlusher {
  readonly #parts: UsageFlusherParts;
  #part = 0;
  /** What sealed parts hold. */
  #baseline: UsageTotals = {};
  /** What the open part was last asked to hold. */
  #attempted: UsageTotals = {};
  #hasWritten = false;

  /** @param parts Store and incarnation. */
  constructor(parts: UsageFlusherParts) {
    this.#parts = parts;
  }

  /** Key of the open part. */
  get key(): string {
    return `${LIVE_USAGE_PREFIX}${this.#parts.incarnation}/${this.#part}`;
  }

  /**
   * Writes the counters.
   *
   * @param totals Cumulative, since the start of the incarnation.
   * @param nowMs Time now.
   */
  async flush(
    totals: UsageTotals,
    nowMs: number,
  ): Promise<Result<void, StoreFailure>> {
    const part = subtractTotals(totals, this.#baseline);
    const hadWritten = this.#hasWritten;
    this.#attempted = part;
    const written = await writeChange<UsageDocument>(this.#parts.store, {
      key: this.key,
      changeId: this.#parts.createChangeId(),
      update: (current) => {
        const isGone = current === undefined && hadWritten;
        if (isGone || current?.isSealed === true) return undefined;
        return { totals: part, flushedMs: nowMs, isSealed: false };
      },
    }, { callClass: "usage" });
    if (written.isErr()) return written.map(() => undefined);
    this.#hasWritten = true;
    if (written.value.kind === "declined") {
      this.#beginPart(written.value.document);
    }
    return written.map(() => undefined);
  }

  /** What a sealed part holds is charged from there; what came since goes to the next part. */
  #beginPart(sealed: UsageDocument | undefined): void {
    const held = sealed?.totals ?? this.#attempted;
    this.#baseline = addTotals(this.#baseline, held);
    this.#part++;
    this.#hasWritten = false;
  }
}
