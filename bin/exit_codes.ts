/** Exit codes of the programs; documented in `docs/OPERATORS.md`. */
export const EXIT_CODES = {
  OK: 0,
  /** The system refused. */
  REFUSED: 1,
  /** The command line, a file or the settings are wrong. */
  USAGE: 2,
  /** No daemon could be reached. */
  UNREACHABLE: 3,
  /** Someone else changed the resource. */
  CONFLICT: 4,
  /** Accepted, but not yet reported in force by every region. */
  NOT_IN_FORCE: 5,
  /** Two states differ. */
  DIFFERS: 6,
} as const;
