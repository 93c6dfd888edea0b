/** Exit codes of the tool; documented in its help. */
export const EXIT_CODES = {
  OK: 0,
  /** The request was refused, e.g. an invalid document or a write conflict. */
  REFUSED: 1,
  /** The command line or an input file is invalid. */
  USAGE: 2,
  /** The daemon or the store is unreachable. */
  UNREACHABLE: 3,
} as const;
