/** What cancels a timer: an abort signal, or a {@linkcode Cancellation}, which costs less. */
export type CancelSignal =
  & Pick<AbortSignal, "aborted">
  & {
    addEventListener(
      type: "abort",
      listener: () => void,
      options?: { readonly once?: boolean },
    ): void;
    removeEventListener(type: "abort", listener: () => void): void;
  };

/**
 * Cancels the timers of one owner. An abort controller of the platform does the same, and
 * each one costs events, weak references and a finalizer; a call has several timers.
 */
export class Cancellation implements CancelSignal {
  #isAborted = false;
  #listeners: (() => void)[] = [];

  /** Whether it has been cancelled. */
  get aborted(): boolean {
    return this.#isAborted;
  }

  /** Adds a function to call once when it is cancelled. */
  addEventListener(_type: "abort", listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Removes a function that was added. */
  removeEventListener(_type: "abort", listener: () => void): void {
    const at = this.#listeners.indexOf(listener);
    if (at >= 0) this.#listeners.splice(at, 1);
  }

  /** Cancels the timers; a second call does nothing. */
  cancel(): void {
    this.#isAborted = true;
    this.#listeners.splice(0).forEach((listener) => listener());
  }
}
