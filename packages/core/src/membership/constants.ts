/** Timeouts and sizes of the membership protocol. */
export const MEMBERSHIP = {
  /** A member that sends no heartbeat for this long is assigned no duties. */
  LIVENESS_TIMEOUT_MS: 2_000,
  /** Instances per data centre that send heartbeats to other data centres. */
  DELEGATE_COUNT: 2,
  /** Interval between a delegate's heartbeats to each other data centre. */
  DELEGATE_INTERVAL_MS: 1_000,
  /** Remote instances last seen within this time are preferred receivers. */
  DELEGATE_TIMEOUT_MS: 5_000,
  /** A member no longer listed is removed after this long without heartbeat. */
  REMOVAL_MS: 60_000,
} as const;
