/** Limits, intervals and timeouts of batch jobs. */
export const JOBS = {
  /** Number of items per segment. */
  SEGMENT_ITEMS: 2_000,
  /** Maximum number of segments that an instance owns at a time. */
  MAX_OWNED_SEGMENTS: 4,
  /** An instance with fewer startable items claims another segment. */
  MIN_STARTABLE_ITEMS: 256,
  /** Minimum time between two progress writes of a segment. */
  MIN_CHECKPOINT_INTERVAL_MS: 1_000,
  /**
   * Number of stored results that triggers a write before
   * `MAX_CHECKPOINT_DELAY_MS`.
   */
  CHECKPOINT_RESULTS: 64,
  /** Maximum time from storing a result to the write that commits it. */
  MAX_CHECKPOINT_DELAY_MS: 4_000,
  /**
   * A segment can be claimed once an observer has seen its record unchanged for
   * this time.
   */
  LEASE_MS: 30_000,
  /**
   * Maximum time between two writes of an owner, each of which renews its
   * lease.
   */
  LEASE_RENEWAL_MS: 8_000,
  /**
   * An owner whose lease has not been confirmed for this time starts no items,
   * except idempotent ones while the store is unavailable.
   */
  SUSPEND_AFTER_MS: 20_000,
  /** Delay before an unanswered call is retried. */
  RETRY_MS: 500,
  /** Minimum interval between two polls of the job records. */
  POLL_INTERVAL_MS: 500,
  /** Poll interval per known instance; the longer of the two applies. */
  POLL_INTERVAL_PER_MEMBER_MS: 5,
  /** Minimum interval between two scans for claimable segments. */
  SCAN_INTERVAL_MS: 500,
  /** Scan interval per known instance; the longer of the two applies. */
  SCAN_INTERVAL_PER_MEMBER_MS: 25,
  /**
   * Scan interval of an instance that needs no segment and only looks for jobs
   * to finalize.
   */
  IDLE_SCAN_INTERVAL_MS: 10_000,
  /** Delay before a job without a claimable segment is scanned again. */
  SCAN_BACKOFF_MS: 3_000,
  /** Time that owners of a cancelled job have to close their segments. */
  CANCEL_GRACE_MS: 6_000,
  /**
   * Another instance takes over finalizing if the job's record has not changed
   * for this time.
   */
  FINALIZER_TIMEOUT_MS: 60_000,
  /** A new job is refused if its record is not written within this time. */
  OFFER_TIMEOUT_MS: 5_000,
  /**
   * A segment with this many uncommitted results starts no items. Such results
   * accumulate while the store is unavailable.
   */
  MAX_UNCOMMITTED_RESULTS: 2_000,
  /** Number of non-idempotent items whose intent is recorded in one write. */
  INTENTS_PER_WRITE: 32,
  /**
   * Time for which a segment starts no items after one was refused without
   * running.
   */
  ITEM_BACKOFF_MS: 1_000,
  /** A gap between ticks of this length means that the process was paused. */
  PROCESS_PAUSE_MS: 1_000,
  /**
   * A peer's disk is used only if a message from the peer arrived within this
   * time.
   */
  DISK_PEER_TIMEOUT_MS: 2_000,
  /**
   * The same for peers in other data centres, of which only delegates send
   * messages.
   */
  REMOTE_DISK_PEER_TIMEOUT_MS: 60_000,
} as const;
