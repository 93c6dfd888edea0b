/** Times of the rooms where requests wait. */
export const ROOMS = {
  /** Delay of a look at what waits after news, for all that comes in it, in ms. */
  NEWS_DELAY_MS: 50,
  /** Time for which what is known of the fleet is not summed up again, in ms. */
  OUTLOOK_MS: 50,
  /** Interval of looks while requests wait and nothing happens, in ms. */
  LOOK_INTERVAL_MS: 100,
  /** Tokens of a request that names none. */
  DEFAULT_TOKENS: 500,
  /** Part of the time that a caller has left by which it returns. */
  RETURN_LEFT_SHARE: 0.3,
  /** Time after which what a route's callers allowed begins to be forgotten, in ms. */
  LONGEST_WINDOW_MS: 60_000,
  /** Reason of a refusal for the customer's rate. */
  OVER_RATE: "over-rate",
  /** Delay after which to return while no upstream can be used, in ms. */
  NO_UPSTREAM_RETURN_MS: 500,
} as const;
