import { SignalInbox } from "../adapters/signal_inbox.ts";

/** Key under which the bundles of one process find the same object. */
const KEY = Symbol.for("havenspur.early-signals");

/** The global object, with what the first bundle of this process has left there. */
const shared = globalThis as { [KEY]?: SignalInbox };

/**
 * Signals of this process from the first statement of a program on. A program imports this
 * module before all others, as loading those takes most of its start. The platform's program
 * has it in a bundle of its own, which runs before the other one is compiled.
 */
export const EARLY_SIGNALS: SignalInbox = shared[KEY] ??= new SignalInbox();
