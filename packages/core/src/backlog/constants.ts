/** Times of the limit on a customer's backlog. */
export const BACKLOG = {
  /**
   * Time for which a measured backlog serves to refuse further jobs, in ms. It
   * can only shrink unnoticed, by what drains in this time.
   */
  MEASURE_REUSE_MS: 250,
  /** Time over which the speed of the drain is computed, in ms. */
  DRAIN_WINDOW_MS: 10_000,
  /** Minimum time between two measurements that yield a speed, in ms. */
  MIN_DRAIN_SPAN_MS: 500,
} as const;
