/** Bounds on the log of refusals. */
export const REFUSALS = {
  /** Lines a second for each code; the others are counted in the next line. */
  LINES_PER_SECOND: 10,
  /** Longest host that a line names, in characters. */
  MAX_HOST_LENGTH: 100,
} as const;
