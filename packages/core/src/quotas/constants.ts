/** Times that govern fleet-wide quotas. */
export const QUOTAS = {
  /**
   * Time without a message, in ms, after which a peer counts as using its
   * static share of the rate.
   */
  PEER_TIMEOUT_MS: 700,
  /**
   * Time, in ms, for which an admission is reported to peers, so that it gets
   * through if messages are lost.
   */
  REPORT_MS: 3_000,
  /** Uptime, in ms, after which an instance has seen a whole window. */
  WARM_UP_MS: 2_000,
  /** Time over which the requests of a customer are averaged, in ms. */
  DEMAND_MS: 1_000,
  /** Part of the burst that is kept while more is asked than the rate. */
  TARGET_SHARE: 0.5,
  /**
   * Part of the difference from the target that is spent between two reports; with
   * all of it, what was decided by old reports would swing the bucket ever more.
   */
  CORRECTION: 0.5,
  /**
   * Time, in ms, for which a peer that left the list keeps its share, since it
   * may only be partitioned.
   */
  REMOVED_PEER_FENCE_MS: 20_000,
} as const;
