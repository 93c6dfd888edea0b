/** Figures of jobs. */
export const JOB_TIMES = {
  /** Pace at which waiting items are placed, in ms. */
  TICK_MS: 50,
  /** Peers' news of some ms is acted upon together. */
  YIELD_MS: 5,
  /** A worker starts few items at an upstream until peers have heard, ms. */
  START_WINDOW_MS: 150,
  /** An upstream's answer to an item is awaited this long, in ms. */
  HEAD_MS: 4_000,
  /** A pause in an item's events that ends the run, in ms. */
  PAUSE_MS: 2_000,
  /** Time that an upstream is allowed for a whole item, in ms. */
  RUN_MS: 60_000,
  /** Mean time that an item runs before any has ended, in ms. */
  FIRST_RUN_MS: 4_000,
  /** Weight of one item in that mean. */
  RUN_WEIGHT: 0.1,
  /** Pace at which old jobs are looked for, in ms. */
  SWEEP_MS: 60_000,
  /** A failed item waits this long before it runs again, in ms. */
  RETRY_MS: 250,
  /** A write without an answer is tried again after this long, in ms. */
  WRITE_RETRY_MS: 200,
  /** After this long a write without an answer may have been read, in ms. */
  DOUBT_MS: 200,
  /** What an owner said of its results counts this long, in ms. */
  NEWS_AGE_MS: 600,
  /** A finished job's owner goes on telling of it this long, in ms. */
  TOLD_MS: 3_000,
  /** Tries to accept a job before the caller is told to come again. */
  ACCEPT_TRIES: 3,
  /** Jobs whose records are held in memory for readers. */
  CACHED_JOBS: 2_000,
} as const;
