/** Times that govern fleet-wide quotas. */
export const QUOTAS = {
  /** A peer not heard from for this long keeps its static share of the rate, in ms. */
  PEER_TIMEOUT_MS: 700,
  /** An instance with a shorter uptime has not seen a whole window yet, in ms. */
  WARM_UP_MS: 2_000,
  /** A peer that left the list keeps its share this long, as it may be partitioned, in ms. */
  REMOVED_PEER_FENCE_MS: 20_000,
} as const;
