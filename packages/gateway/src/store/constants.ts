/** Wait and retry times of watches on the metadata store. */
export const WATCH_TIMING = {
  /** Shortest wait of a watch, in ms. */
  MIN_WAIT_MS: 50,
  /**
   * Minimum number of positions in a stagger period, so that the watches of a
   * small fleet wait longer.
   */
  MIN_STAGGER_POSITIONS: 4,
  /**
   * Longest wait of a watch, in ms. A missed change still takes effect within
   * seconds: peers' watches end every `STAGGER_MS` and report it.
   */
  MAX_WAIT_MS: 20_000,
  /**
   * Longest wait of a watch after a failure, in ms. A history compacted in the
   * meantime is reported only when the wait ends.
   */
  RECOVERY_WAIT_MS: 300,
  /** Interval at which some watch of the fleet ends and tells peers, in ms. */
  STAGGER_MS: 500,
  /**
   * Time allowed to receive a change that a peer has seen, in ms, before it is
   * asked for by another way as well, and again after each such time.
   */
  BEHIND_TIMEOUT_MS: 300,
  /** How long a call by another way waits for the change, in ms. */
  DETOUR_WAIT_MS: 300,
  /** Calls by another way at the same time. */
  MAX_DETOURS: 3,
  /**
   * Minimum time between two watches of the instances' records, in ms; shorter
   * than `BEHIND_TIMEOUT_MS`, as peers tell each other of changes.
   */
  INSTANCES_INTERVAL_MS: 250,
  /**
   * Minimum time between two watches of upstreams, in ms: a change after a pause is
   * told at once, others of the same pause together. The bound for an upstream that
   * leaves is seconds; shorter than `BEHIND_TIMEOUT_MS` as well.
   */
  UPSTREAMS_INTERVAL_MS: 250,
  /** Minimum time between two watches of the jobs' claims, in ms. */
  CLAIMS_INTERVAL_MS: 500,
  /** Interval at which a follower looks whether its watcher is still heard, in ms. */
  WATCHER_CHECK_MS: 200,
  /**
   * Time for which the source of a watch stays though the store answers none, in ms:
   * longer than an instance takes to find out that it doesn't reach the store.
   */
  KEEP_SOURCE_MS: 3_000,
  /** Time for which a watcher that refused or was lost is not asked again, in ms. */
  AVOID_WATCHER_MS: 2_000,
  MIN_RETRY_DELAY_MS: 50,
  MAX_RETRY_DELAY_MS: 800,
} as const;
