/** Figures of placing. */
export const PLACING = {
  /** Requests by which an affine upstream may be fuller than the emptiest. */
  AFFINITY_SLACK: 2,
  /** Share of the time to the objective that a queue may use up. */
  QUEUE_SHARE: 0.5,
  /** Time until a batch item has made room for a request, in ms. */
  YIELD_MS: 20,
  /** Slow start: a cold upstream counts as this many requests fuller. */
  COLD_PENALTY: 3,
} as const;
