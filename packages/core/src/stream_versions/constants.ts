/** Times for which streams and the versions that began them are followed. */
export const STREAM_VERSIONS = {
  /**
   * Longest time from a stream's first event until a caller takes it up again, in
   * ms: several tries of the usual deadline. A version that has been gone for
   * longer has no streams left.
   */
  STREAM_LIFE_MS: 60_000,
  /** Time after which a version that is gone leaves the history, in ms. */
  FORGET_MS: 600_000,
} as const;
