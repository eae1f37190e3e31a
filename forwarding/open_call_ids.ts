/**
 * Ids of the calls in progress that may run once. A call that arrives a second time under its id
 * while the first arrival is served would run twice.
 */
export class OpenCallIds {
  readonly #ids = new Set<string>();

  /**
   * Records a call that begins.
   *
   * @param callId The caller's id of the call; empty if it sent none, and nothing is recorded.
   * @returns A function to call when the call has ended; `undefined` if one with its id is open.
   */
  begin(callId: string): (() => void) | undefined {
    if (callId === "") return () => {};
    if (this.#ids.has(callId)) return undefined;
    this.#ids.add(callId);
    return () => this.#ids.delete(callId);
  }
}
