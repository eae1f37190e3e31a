import { type Clock, VirtualClock } from "../clock/mod.ts";
import { createLogger, type Logger } from "../logs/mod.ts";

/** A logger, and the lines that it has written. */
export interface RecordingLogger {
  readonly logger: Logger;
  readonly lines: readonly string[];
}

/**
 * Returns a logger that keeps its lines.
 *
 * @param clock Source of the times in the lines. Default: a clock that stands still.
 */
export function createRecordingLogger(
  clock: Clock = new VirtualClock(),
): RecordingLogger {
  const lines: string[] = [];
  const logger = createLogger({
    clock,
    fields: {},
    level: "info",
    write: (line) => lines.push(line),
  });
  return { logger, lines };
}
