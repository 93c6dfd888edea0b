/** Times of the records that tell which version began a stream. */
export const STREAM_RECORDS = {
  /**
   * Time to live of a record, in ms: twice the life of a stream, as the lease of
   * an instance's records is replaced after half of it.
   */
  LEASE_TTL_MS: 120_000,
  LEASE_REPLACE_MS: 60_000,
  /** Shortest time between two writes of an instance, in ms. */
  MIN_INTERVAL_MS: 50,
  /** Time between two writes for each instance of the fleet, in ms. */
  INTERVAL_PER_INSTANCE_MS: 4,
  /** Records in one write; the store accepts 32 entries. */
  MAX_BATCH: 32,
  /** Records that wait while the store is away; the oldest are dropped. */
  MAX_WAITING: 2_000,
  /** Delay before a write is tried again, in ms. */
  RETRY_MS: 200,
  /** Time that another instance's record may take to be written, in ms. */
  LATE_RECORD_MS: 150,
  /** Longest wait for the record of a stream that is taken up, in ms. */
  READ_TIMEOUT_MS: 400,
  /** Longest delay before a version that is new is written, in ms. */
  HISTORY_DELAY_MS: 300,
  /**
   * Time that a version has to be gone before that is written, in ms: longer than
   * instances differ in what they have listed.
   */
  GONE_DELAY_MS: 3_000,
} as const;
