import { SignalInbox } from "../adapters/signal_inbox.ts";

/**
 * Signals of this process from the first statement of a program on. A program imports this
 * module before all others, as loading those takes most of its start.
 */
export const EARLY_SIGNALS = new SignalInbox();
