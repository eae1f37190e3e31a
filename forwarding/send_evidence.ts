import type { SendOutcome, SendRecord } from "../rollouts/mod.ts";
import type { EndedOutcome } from "./attempt_outcome.ts";
import { type Exchange, readStreamHandling } from "./exchange.ts";

/** Lowest HTTP status that means a failure of the server. */
const MIN_FAILURE_STATUS = 500;

/** Measures one send, for the comparison of versions. */
export class SendEvidence {
  readonly #record: SendRecord;
  readonly #exchange: Exchange;
  readonly #isCompared: boolean;
  readonly #isStream: boolean;
  readonly #startMs: number;
  #firstByteMs: number | undefined;
  #lastBytesMs = 0;
  #longestGapMs: number | undefined;

  /**
   * @param record Receives how the send ended.
   * @param exchange The call, before the send counts as one of its sends.
   * @param startMs When the send began, in milliseconds.
   */
  constructor(record: SendRecord, exchange: Exchange, startMs: number) {
    this.#record = record;
    this.#exchange = exchange;
    this.#startMs = startMs;
    this.#isStream = readStreamHandling(exchange).isStream;
    // Repeated sends go to the versions in force only. They carry the calls that fail
    // anywhere, which would make these versions look worse than they are.
    this.#isCompared = exchange.isFirstSend && !exchange.isTrial;
  }

  /** Records that bytes of the answer arrived, after its first byte was recorded. */
  recordBytes(nowMs: number): void {
    if (!this.#isStream || this.#firstByteMs === undefined) return;
    const gapMs = nowMs - this.#lastBytesMs;
    this.#longestGapMs = Math.max(this.#longestGapMs ?? 0, gapMs);
    this.#lastBytesMs = nowMs;
  }

  /** Records that the answer is read again, which this instance had paused for its caller. */
  recordResume(nowMs: number): void {
    this.#lastBytesMs = nowMs;
  }

  /** Records the first byte of the answer's body. */
  recordFirstByte(nowMs: number): void {
    this.#firstByteMs = nowMs;
    this.#lastBytesMs = nowMs;
  }

  /** Records how the send ended. */
  end(outcome: EndedOutcome, nowMs: number): void {
    const sendOutcome = this.#toSendOutcome(outcome, nowMs);
    // A send that reached no server is taken back whether or not it is compared.
    this.#record.end(
      this.#isCompared || sendOutcome.kind === "not-sent"
        ? sendOutcome
        : { kind: "ignored" },
    );
  }

  #toSendOutcome(outcome: EndedOutcome, nowMs: number): SendOutcome {
    switch (outcome.kind) {
      case "answered":
        return outcome.status >= MIN_FAILURE_STATUS
          ? { kind: "failed" }
          : this.#toAnswered(nowMs);
      case "failed":
      case "no-answer":
      case "broken":
        return { kind: "failed" };
      case "not-sent":
        return { kind: "not-sent" };
      case "rejected":
        return { kind: "ignored" };
      case "given-up": {
        const { deadlineMs, sink } = this.#exchange;
        const isTimeout = nowMs >= deadlineMs && !sink.signal.aborted;
        return { kind: isTimeout ? "failed" : "ignored" };
      }
    }
  }

  #toAnswered(nowMs: number): SendOutcome {
    const firstByteMs = (this.#firstByteMs ?? nowMs) - this.#startMs;
    return {
      kind: "answered",
      firstByteMs,
      ...(this.#longestGapMs === undefined
        ? {}
        : { longestGapMs: this.#longestGapMs }),
    };
  }
}
