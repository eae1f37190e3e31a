import { setImmediate } from "node:timers/promises";

/** Signals that stop a program or make it reload its settings. */
export type HandledSignal = "SIGHUP" | "SIGINT" | "SIGTERM";

const HANDLED_SIGNALS: readonly HandledSignal[] = [
  "SIGHUP",
  "SIGINT",
  "SIGTERM",
];

/**
 * Keeps the signals that arrive before a program can handle them. Without a listener, each
 * of them ends the process.
 */
export class SignalInbox {
  #pending: HandledSignal[] = [];
  #handle = (signal: HandledSignal): void => {
    this.#pending.push(signal);
  };

  /** Takes over the signals of this process. */
  constructor() {
    HANDLED_SIGNALS.forEach((signal) =>
      process.on(signal, () => this.#handle(signal))
    );
  }

  /**
   * Returns whether a signal that stops the program is pending. Node passes signals on only
   * between two iterations of the event loop, which the function waits for.
   */
  async isStopPending(): Promise<boolean> {
    await setImmediate();
    await setImmediate();
    return this.#pending.some((signal) => signal !== "SIGHUP");
  }

  /** Calls a function with each pending signal, and with each later one. */
  deliverTo(handle: (signal: HandledSignal) => void): void {
    this.#handle = handle;
    this.#pending.splice(0).forEach(handle);
  }
}
