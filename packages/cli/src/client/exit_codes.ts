/** Exit codes of the tool; documented in its help. */
export const EXIT_CODES = {
  OK: 0,
  /** The daemon refused, e.g. an invalid document or a lost race. */
  REFUSED: 1,
  /** The command line is wrong. */
  USAGE: 2,
  /** The daemon or the store could not be reached. */
  UNREACHABLE: 3,
} as const;
