/** Exit codes of the programs; documented in `docs/OPERATORS.md`. */
export const EXIT_CODES = {
  OK: 0,
  /** The request was refused. */
  REFUSED: 1,
  /** The command line, a file or the settings are invalid. */
  USAGE: 2,
  /** No daemon could be reached. */
  UNREACHABLE: 3,
  /** Another operator changed the resource in the meantime. */
  CONFLICT: 4,
  /** Accepted, but not yet reported in force by every region. */
  NOT_IN_FORCE: 5,
  /** Two states differ. */
  DIFFERS: 6,
  /** The program failed; its log has the error. */
  FAILED: 7,
} as const;
