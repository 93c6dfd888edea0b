/** Times of the store records of blocked prompt parts. */
export const BLOCK_RECORDS = {
  /**
   * Longest time until a new block is written, in ms. It is drawn at random, so
   * that one instance writes what all have decided.
   */
  MAX_WRITE_DELAY_MS: 1_500,
} as const;

/** Times of the verdict on a possible crash. */
export const CRASH_TIMES = {
  /** Time for which a request waits to know whether its upstream crashed, in ms. */
  MAX_VERDICT_WAIT_MS: 250,
  /** Interval at which recent crashes are reviewed, in ms. */
  REVIEW_INTERVAL_MS: 150,
} as const;
