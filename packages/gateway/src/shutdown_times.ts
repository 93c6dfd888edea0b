/** Times of a planned stop. */
export const SHUTDOWN_TIMES = {
  /** Callers may still be sent here this long after the signal, in ms. */
  LINGER_MS: 3_300,
  /** Left of the grace time for the last steps, in ms. */
  MARGIN_MS: 700,
  POLL_MS: 50,
  /** Pause before the report of an emptied instance is tried again, ms. */
  RETIREMENT_RETRY_MS: 300,
} as const;
