import { LineRateLimiter, type Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { systemClock } from "./system_clock.ts";

/** Maximum number of errors that are logged in one second; a timer may fail each time. */
const LINES_PER_SECOND = 5;

/** Receivers of errors that no code has taken. */
export interface ProcessErrorParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Called once, after the first error that interrupted some code. The state of the process
   * is uncertain from then on: the function lets it complete its calls and ends it.
   */
  readonly leave: () => void;
}

/**
 * Handles the errors that no code has taken, which would end the process with all its calls.
 * A rejected promise concerns only what awaited it; a thrown error may have interrupted a
 * change of shared state.
 *
 * @param parts Log, metrics, and how to leave.
 */
export function handleProcessErrors(
  { leave, logger, metrics }: ProcessErrorParts,
): void {
  const lineLimiter = new LineRateLimiter(LINES_PER_SECOND);
  let isLeaving = false;
  const record = (kind: "rejection" | "exception", error: unknown) => {
    const { message, stack } = error instanceof Error
      ? error
      : new Error(String(error));
    metrics.count("process.errors", 1, { kind });
    const suppressed = lineLimiter.admitLine(systemClock.nowMs());
    if (suppressed === undefined) return;
    logger.error("error that no code has taken", {
      kind,
      reason: message,
      stack,
      suppressed,
    });
  };
  process.on("unhandledRejection", (error) => record("rejection", error));
  process.on("uncaughtException", (error) => {
    record("exception", error);
    if (isLeaving) return;
    isLeaving = true;
    leave();
  });
}
