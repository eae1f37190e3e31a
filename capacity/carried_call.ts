import type { CarriedWork, ScarceResource } from "./carried_work.ts";
import { estimateHeadMemory } from "./estimate_head_memory.ts";
import { estimateJsonMemory } from "./estimate_json_memory.ts";

/** The part of an instance's work that one call takes, from its head to the end of its answer. */
export class CarriedCall {
  readonly #work: CarriedWork;
  #isInProgress = false;
  #headBytes = 0;
  #bodyBytes = 0;

  /** @param work Work of all calls. */
  constructor(work: CarriedWork) {
    this.#work = work;
  }

  /**
   * Begins the call if the instance can carry it.
   *
   * @param headers Header names and values, alternating.
   * @returns The resource of which there is too little, or `undefined` if the call has begun.
   */
  begin(headers: readonly string[]): ScarceResource | undefined {
    const headBytes = estimateHeadMemory(headers);
    const scarce = this.#work.beginCall(headBytes);
    if (scarce !== undefined) return scarce;
    this.#isInProgress = true;
    this.#headBytes = headBytes;
    return undefined;
  }

  /** Reserves memory for bytes of the body; returns whether there was enough. */
  reserve(bytes: number): boolean {
    // The memory of a call that has ended is no longer counted.
    if (!this.#isInProgress || !this.#work.reserveBody(bytes)) return false;
    this.#bodyBytes += bytes;
    return true;
  }

  /** Reserves memory for a body that is parsed as JSON; returns whether there was enough. */
  reserveParsed(body: Buffer): boolean {
    const bytes = estimateJsonMemory(body);
    if (!this.#isInProgress || !this.#work.reserveHead(bytes)) return false;
    this.#headBytes += bytes;
    return true;
  }

  /** Ends the call, and releases its memory; does nothing the second time. */
  end(): void {
    if (!this.#isInProgress) return;
    this.#isInProgress = false;
    this.#work.endCall(this.#bodyBytes, this.#headBytes);
  }
}
