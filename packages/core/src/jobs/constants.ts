/** Sizes and times of batch jobs. */
export const JOBS = {
  /** Items of one segment. */
  SEGMENT_ITEMS: 2_000,
  /** Segments that one instance owns at once. */
  MAX_OWNED: 4,
  /** An instance with fewer startable items looks for another segment. */
  LOW_ITEMS: 256,
  /** Least time between two progress writes of a segment. */
  CHECKPOINT_MS: 1_000,
  /** Stored results that are worth a write before `CHECKPOINT_LATE_MS`. */
  CHECKPOINT_ITEMS: 64,
  /** Longest wait of a stored result for its write. */
  CHECKPOINT_LATE_MS: 4_000,
  /** A record unchanged for so long, as an observer sees it, is free. */
  LEASE_MS: 30_000,
  /** An owner writes its record at least so often. */
  RENEW_MS: 8_000,
  /** An owner that was not confirmed for so long starts nothing. */
  LAPSE_MS: 20_000,
  /** Wait before a call that was not answered is made again. */
  RETRY_MS: 500,
  /** Time between two looks at the job records. */
  POLL_MS: 500,
  /** The same, for each instance that is known. */
  POLL_MEMBER_MS: 5,
  /** Time between two looks for segments, at least. */
  SEEK_MS: 500,
  /** The same, for each instance that is known. */
  SEEK_MEMBER_MS: 25,
  /** Looks of an instance that has enough items, for jobs to end. */
  DUTY_MS: 10_000,
  /** A job without a free segment is looked at again after this. */
  EXHAUSTED_MS: 3_000,
  /** Owners of a cancelled job have so long to close their segments. */
  SETTLE_MS: 6_000,
  /** A job's ending whose maker is silent for so long is taken over. */
  FINALIZE_MS: 60_000,
  /** A new job's record is written within this, or the job is refused. */
  OFFER_MS: 5_000,
  /** Stored results that an owner may hold while the store is down. */
  OFFLINE_ITEMS: 2_000,
  /** Non-idempotent items whose intent one write records. */
  INTENT_ITEMS: 32,
  /** Wait of a segment after an item that did not run. */
  BACKOFF_MS: 1_000,
  /** A gap between ticks that shows that this instance was paused. */
  PAUSE_MS: 1_000,
  /** A peer's disk is used while the peer was heard within this. */
  DISK_HEARD_MS: 2_000,
  /** The same for other data centres, of which only delegates are heard. */
  FAR_DISK_HEARD_MS: 60_000,
} as const;
