/** Figures of watches on the metadata store. */
export const WATCH_TIMING = {
  /** Shortest wait of a watch, in ms. */
  MIN_WAIT_MS: 50,
  /** Turns of a small fleet's round, so that its watches wait long enough. */
  MIN_STAGGER_POSITIONS: 4,
  /** Longest one, in ms: a change is in force within seconds all the same. */
  MAX_WAIT_MS: 20_000,
  /** After a failure a watch ends this soon: its history may be going, ms. */
  RECOVERY_WAIT_MS: 300,
  /** Some instance's watch ends each so many ms, and tells the others. */
  STAGGER_MS: 500,
  /** A change that a peer has seen is awaited this long, in ms. */
  BEHIND_TIMEOUT_MS: 300,
  MIN_RETRY_DELAY_MS: 50,
  MAX_RETRY_DELAY_MS: 800,
} as const;
