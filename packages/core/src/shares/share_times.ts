/** Intervals, timeouts and sizes for dividing limits into shares. */
export const SHARE_TIMES = {
  /** Number of records that hold the shares of all customers. */
  GROUP_COUNT: 16,
  /** Interval between reads of successive group records. */
  POLL_INTERVAL_MS: 5_000,
  /** Interval between reads while records are still missing. */
  INITIAL_POLL_MS: 250,
  /** Interval between demand reports. */
  REPORT_MS: 5_000,
  /** Interval between two rebalances of a group. */
  REBALANCE_MS: 15_000,
  /** Interval between checks of the groups that an instance coordinates. */
  COORDINATION_MS: 250,
  /** Delay before a retry after a write that was lost or in conflict. */
  RETRY_MS: 1_000,
  /** How long holders have to answer a share reduction request. */
  REDUCTION_TIMEOUT_MS: 500,
  /** How long a holder that did not answer is excluded from divisions. */
  UNRESPONSIVE_HOLDER_MS: 60_000,
  /** Tolerance for rounding errors in sums of shares. */
  EPSILON: 1e-6,
} as const;
