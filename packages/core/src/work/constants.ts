/** Bounds on retries. */
export const RETRY_BOUNDS = {
  /** Retries that an instance may make at once. */
  MAX_RETRY_BUDGET: 64,
  /** Retries that each accepted request adds to the budget. */
  RETRIES_PER_REQUEST: 0.2,
  /** Attempts at most of one piece of work. */
  MAX_ATTEMPTS: 3,
} as const;
