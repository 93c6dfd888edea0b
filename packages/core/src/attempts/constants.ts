/** Figures of attempts. */
export const ATTEMPTS = {
  /** Upstreams that may decline a request beyond its allowed attempts. */
  EXTRA_OFFERS: 3,
  /** With less time left another try only loads an upstream, in ms. */
  MIN_LEFT_MS: 60,
} as const;
