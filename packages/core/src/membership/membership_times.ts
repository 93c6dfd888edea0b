/** Heartbeat intervals and fencing timeouts. */
export const MEMBERSHIP_TIMES = {
  /** Heartbeat interval in a data centre of up to five instances. */
  HEARTBEAT_INTERVAL_MS: 250,
  /** Increase of the heartbeat interval per instance beyond five. */
  HEARTBEAT_STEP_MS: 50,
  /** An instance unconfirmed for this long stops using its shares. */
  FENCE_MS: 3_000,
  /** Wait before moving shares: `FENCE_MS` plus clock drift and one step. */
  FENCE_WAIT_MS: 3_200,
  /** A longer gap between two steps invalidates all earlier confirmations. */
  MAX_STEP_GAP_MS: 1_000,
  /** Interval between reads of its own record without a peer majority. */
  VERIFY_INTERVAL_MS: 750,
  /** Interval between reads of its own record with a peer majority. */
  CONFIRMED_VERIFY_INTERVAL_MS: 30_000,
  /**
   * A member without a heartbeat for this long is not chosen as share
   * coordinator, unless it is a listed instance of another data centre.
   */
  FAILURE_TIMEOUT_MS: 1_500,
} as const;
