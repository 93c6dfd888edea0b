/** Retry limits. */
export const RETRY_BOUNDS = {
  /** Capacity of an instance's retry budget. */
  MAX_RETRY_BUDGET: 64,
  /** Budget that each accepted request adds. */
  RETRIES_PER_REQUEST: 0.2,
  /** Maximum number of attempts per work item. */
  MAX_ATTEMPTS: 3,
} as const;
