/** Limits on the attempts of one request. */
export const ATTEMPTS = {
  /** Upstreams that may decline a request beyond its allowed attempts. */
  EXTRA_DECLINED_ATTEMPTS: 3,
  /** With less time until the deadline, a retry would only add load, in ms. */
  MIN_REMAINING_MS: 60,
} as const;
