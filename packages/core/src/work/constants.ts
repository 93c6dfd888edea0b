/** Retry limits. */
export const RETRY_BOUNDS = {
  /** Maximum number of retries in an instance's retry budget. */
  MAX_RETRY_BUDGET: 64,
  /** Retries that each accepted request adds to the budget. */
  RETRIES_PER_REQUEST: 0.2,
  /** Maximum number of attempts per request or batch item. */
  MAX_ATTEMPTS: 3,
} as const;
