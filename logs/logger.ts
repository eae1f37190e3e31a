import loglevel from "loglevel";
import type { Clock } from "../clock/mod.ts";

/** Levels of the log, from the most to the least verbose. */
export type LogLevel = "trace" | "debug" | "info" | "warn" | "error" | "silent";

/** Structured fields of a line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes each log line as one JSON object. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Changes the level while the daemon runs. */
  setLevel(level: LogLevel): void;
  /** The current level. */
  readonly level: LogLevel;
}

/** What a logger is created from. */
export interface LoggerParts {
  readonly clock: Clock;
  /** Fields of every line, such as instance and region. */
  readonly fields: LogFields;
  readonly level: LogLevel;
  /** Receives each line with its level. */
  readonly write: (line: string, level: LogLevel) => void;
}

/**
 * Returns a logger. Callers must never pass tokens or bodies to it.
 *
 * @param parts Clock, fields, level and receiver of the lines.
 */
export function createLogger(parts: LoggerParts): Logger {
  const logger = loglevel.getLogger(Symbol("havenspur"));
  logger.methodFactory =
    (level) => (message: string, fields: LogFields = {}) => {
      const time = new Date(parts.clock.nowMs()).toISOString();
      parts.write(
        JSON.stringify({ level, time, ...parts.fields, message, ...fields }),
        level as LogLevel,
      );
    };
  let current = parts.level;
  logger.setLevel(current, false);
  return {
    debug: (message, fields) => logger.debug(message, fields),
    info: (message, fields) => logger.info(message, fields),
    warn: (message, fields) => logger.warn(message, fields),
    error: (message, fields) => logger.error(message, fields),
    setLevel: (level) => {
      current = level;
      logger.setLevel(level, false);
    },
    get level() {
      return current;
    },
  };
}

/** Returns a logger that writes nothing. */
export function createSilentLogger(): Logger {
  return createLogger({
    clock: { nowMs: () => 0, elapsedMs: () => 0, schedule: () => {} },
    fields: {},
    level: "silent",
    write: () => {},
  });
}
