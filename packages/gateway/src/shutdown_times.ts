/** Timing of a planned stop. */
export const SHUTDOWN_TIMES = {
  /**
   * Time after the stop signal in which new requests may still arrive, in ms.
   */
  LINGER_MS: 3_300,
  /**
   * Time after the stop signal in which the platform may not have seen that this
   * instance is not ready, in ms: two questions a second apart, and their answers.
   */
  NOTICE_MS: 2_900,
  /** Part of the grace period reserved for the final steps, in ms. */
  MARGIN_MS: 700,
  /**
   * Time in which a caller that sends again at once after an answer has done so,
   * in ms: the way there and back, and the caller's own pace.
   */
  SENDS_AGAIN_MS: 500,
  POLL_MS: 50,
  /** Delay before the report of a completed retirement is retried, in ms. */
  RETIREMENT_RETRY_MS: 300,
} as const;
