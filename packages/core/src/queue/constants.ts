/** Bounds of queues. */
export const QUEUE_BOUNDS = {
  /** Time over which arrivals are forgotten, milliseconds. */
  ARRIVAL_DECAY_MS: 2_000,
  /** Requests that one customer may have queued at one service. */
  MAX_QUEUED: 512,
} as const;
