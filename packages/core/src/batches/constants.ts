/** Figures of batch jobs. */
export const BATCHES = {
  MAX_ITEMS: 200,
  /** Bytes of one chunk of items: well below the store's value limit. */
  CHUNK_BYTES: 600_000,
  /** Entries of one commit that the store takes. */
  MAX_COMMIT_ENTRIES: 32,
  /** Bytes of results in one answer. */
  MAX_READ_BYTES: 1_000_000,
  /** Events of an item that are worth a write: about a second of its run. */
  SAVE_EVENTS: 30,
  /** Bytes of texts in one commit: well below what the store takes. */
  MAX_SAVE_BYTES: 300_000,
  /** A worker saves texts at most so often, in ms. */
  SAVE_MS: 2_000,
  /** Time per worker of that pace: 20 such commits a second over the fleet. */
  SAVE_WORKER_MS: 50,
  /** Time that an item beyond the mean is expected to run on, in ms. */
  MIN_REMAINING_RUN_MS: 100,
  /** Online bursts take an item's slot: its run lasts so many times longer. */
  RUN_TIME_FACTOR: 1.3,
  /** Weight of one tick of 50 ms in the mean of slots: about 4 s of them. */
  SLOTS_SMOOTHING_WEIGHT: 0.0125,
  /** Wait before the next instance in rank claims an unowned job, in ms. */
  CLAIM_RANK_DELAY_MS: 600,
  /** An unlisted owner may register again within this time, in ms. */
  OWNER_GRACE_MS: 1_200,
  /** Finished jobs are removed this long after submission, in ms. */
  KEEP_MS: 600_000,
} as const;
