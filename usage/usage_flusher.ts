import type { Result } from "neverthrow";
import type { ChangeId } from "../ids/mod.ts";
import {
  type ChangeLog,
  type Store,
  type StoreFailure,
  writeChange,
} from "../store/mod.ts";
import { addTotals, subtractTotals, type UsageTotals } from "./usage_meter.ts";

/** Cumulative counters of one incarnation, as they are stored. */
export interface UsageDocument extends ChangeLog {
  readonly totals: UsageTotals;
  readonly flushedMs: number;
  /** Whether the document is folded or about to be; nothing more may be written to it. */
  readonly isSealed: boolean;
}

/** Prefix of the keys of the documents with the counters of incarnations. */
export const LIVE_USAGE_PREFIX = "/havenspur/usage/live/";

/** What a {@linkcode UsageFlusher} needs. */
export interface UsageFlusherParts {
  readonly store: Store;
  readonly incarnation: string;
  readonly createChangeId: () => ChangeId;
}

/**
 * Writes the cumulative counters of one incarnation to the store. Each flush
 * overwrites the one before, so that a repeated flush changes nothing. If another
 * instance has sealed the document, its counters are left to be folded, and the
 * flusher begins a new part.
 */
export class UsageFlusher {
  readonly #parts: UsageFlusherParts;
  #part = 0;
  /** Sum of the counters in the sealed parts. */
  #baseline: UsageTotals = {};
  /** Counters that the last flush tried to write to the open part. */
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
   * @param totals Cumulative counters since the start of the incarnation.
   * @param nowMs Current time, in milliseconds since the epoch.
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
        const isRemoved = current === undefined && hadWritten;
        if (isRemoved || current?.isSealed === true) return undefined;
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

  /**
   * Begins the next part. The counters of the sealed part are charged from that part;
   * all usage beyond them goes to the next one.
   */
  #beginPart(sealed: UsageDocument | undefined): void {
    const sealedTotals = sealed?.totals ?? this.#attempted;
    this.#baseline = addTotals(this.#baseline, sealedTotals);
    this.#part++;
    this.#hasWritten = false;
  }
}
