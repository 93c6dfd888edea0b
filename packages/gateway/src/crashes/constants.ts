/** Times of the store records of blocked prompt parts. */
export const BLOCK_RECORDS = {
  /**
   * Longest time until a new block is written, in ms. It is drawn at random, so
   * that one instance writes what all have decided.
   */
  MAX_WRITE_DELAY_MS: 1_500,
} as const;
