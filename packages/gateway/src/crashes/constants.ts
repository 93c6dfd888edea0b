/** Times of verdicts on possible crashes, and of the records of blocks. */
export const CRASH_TIMES = {
  /** Time for which a request waits to know whether its upstream crashed, in ms. */
  MAX_VERDICT_WAIT_MS: 250,
  /** Interval at which recent crashes are reviewed, in ms. */
  REVIEW_INTERVAL_MS: 150,
  /**
   * Longest time until a new block is written, in ms. It is drawn at random, so
   * that one instance writes what all have decided.
   */
  MAX_WRITE_DELAY_MS: 1_500,
} as const;
