import type { CallOrigin } from "./opaque_call.ts";

/**
 * Sends of other instances that this one is serving. One that arrived a second time would be a call
 * that is sent twice without a decision of any instance.
 */
export class OpenHopSends {
  readonly #keys = new Set<string>();

  /**
   * Records a call that begins, if it is a send of another instance that names itself.
   *
   * @returns A function to call when the call has ended; `undefined` if the same send is open.
   */
  begin(origin: CallOrigin): (() => void) | undefined {
    if (origin.kind === "caller") return () => {};
    const { from, sendId } = origin.hop;
    if (sendId === undefined) return () => {};
    const key = `${from} ${sendId}`;
    if (this.#keys.has(key)) return undefined;
    this.#keys.add(key);
    return () => this.#keys.delete(key);
  }
}
