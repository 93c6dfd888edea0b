/** How the limits that upstreams name are kept. */
export const UPSTREAM_LIMITS = {
  /**
   * Lowest limit that is kept, in requests per second. An upstream that gets no
   * request could never take its limit back.
   */
  MIN_PER_SECOND: 0.1,
  /** Window over which an upstream may see an excess, in seconds. */
  WINDOW_S: 4,
  /** Requests that a window may hold beyond the factor of the limit. */
  SLACK: 5,
  /** Factor by which a window may exceed the limit. */
  OVER: 1.5,
  /**
   * Share of the allowed excess that is set aside for senders that send at the
   * same moment; the rest is the bucket's burst.
   */
  SENDER_SHARE: 0.4,
  /** Part of a bucket that items leave for online requests. */
  ONLINE_SHARE: 0.2,
  /** Time for which a word that lifts a limit is told to peers, in ms. */
  REPORT_MS: 3_000,
  /** Silence after which a sender counts as using its static share, in ms. */
  PEER_TIMEOUT_MS: 300,
  /** Upstreams whose last word is remembered. */
  MAX_UPSTREAMS: 16_384,
} as const;
