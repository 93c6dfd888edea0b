/** Limits and intervals of batch jobs. */
export const BATCHES = {
  MAX_ITEMS_PER_JOB: 200,
  /**
   * Maximum size of a chunk of items, in bytes, well below the store's value
   * limit.
   */
  CHUNK_BYTES: 600_000,
  /** Maximum number of entries that the store accepts in one commit. */
  MAX_COMMIT_ENTRIES: 32,
  /** Time for which a finished result waits for others of its job, in ms. */
  RESULT_HOLD_MS: 500,
  /** Time before a job's due time from which its results don't wait, in ms. */
  RESULT_DUE_MARGIN_MS: 3_000,
  /** Maximum size of the results in one response, in bytes. */
  MAX_RESULTS_RESPONSE_BYTES: 1_000_000,
  /**
   * Number of unsaved events that triggers a save: about one second of an
   * item's run.
   */
  MIN_UNSAVED_EVENTS: 30,
  /**
   * Maximum size of the texts in one commit, in bytes, well below the store's
   * limit.
   */
  MAX_SAVE_BYTES: 300_000,
  /** Minimum interval between two saves of a worker. */
  SAVE_INTERVAL_MS: 2_000,
  /**
   * Save interval per worker; the longer of the two applies. Limits the fleet
   * to 20 saves per second.
   */
  SAVE_INTERVAL_PER_WORKER_MS: 50,
  /**
   * Minimum estimate of the remaining run time of an item, which applies once
   * it has run for about the mean run time.
   */
  MIN_REMAINING_RUN_MS: 100,
  /** Factor by which runs take longer because online bursts preempt items. */
  RUN_TIME_FACTOR: 1.3,
  /**
   * Times its remaining run that an item must have until it is due, to wait for a
   * slot that online requests are not likely to need.
   */
  WAIT_FACTOR: 4,
  /**
   * Weight of one 50 ms tick in the moving average of slots, which spans about
   * 4 s.
   */
  SLOTS_SMOOTHING_WEIGHT: 0.0125,
  /** Delay per rank before a worker claims an unowned job. */
  CLAIM_RANK_DELAY_MS: 600,
  /** Time in which an owner that is no longer listed may register again. */
  OWNER_GRACE_MS: 1_200,
  /** How long a job is kept after its due time and retention have passed. */
  FINISHED_JOB_RETENTION_MS: 600_000,
} as const;
