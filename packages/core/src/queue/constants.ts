/** Queue limits. */
export const QUEUE_BOUNDS = {
  /** Time constant of the arrival rate's exponential decay. */
  ARRIVAL_DECAY_MS: 2_000,
  /** Maximum number of queued requests per customer and service. */
  MAX_QUEUED: 512,
} as const;
