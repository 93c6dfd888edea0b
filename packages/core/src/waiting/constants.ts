/** Bounds and weights of the room where requests wait at an instance. */
export const WAITING = {
  /** Bound of the requests that wait at an instance, for each service. */
  MAX_REQUESTS: 256,
  /** Bound of their bodies' bytes. */
  MAX_BYTES: 16_777_216,
  /**
   * Part of the time that a start may take by which it must be expected: an
   * instance has few slots, so that they become free irregularly.
   */
  EXPECTED_SHARE: 2 / 3,
  /** Time without a refusal after which an overload has ended, in ms. */
  OVERLOAD_PAUSE_MS: 600,
  /** Time over which it is counted what comes to an instance, in ms. */
  ARRIVAL_WINDOW_MS: 400,
  /** Starts after which a late request goes before those that are in time. */
  LATE_TURN: 4,
  /** Part of the starts that refused callers are told to return for. */
  RETURN_SHARE: 0.5,
  /** Time by which a refused caller may return late, in ms. */
  RETURN_GRACE_MS: 200,
  /** Requests beyond its slots that an upstream may be sent. */
  UPSTREAM_QUEUE: 1,
  /**
   * Part of the longest time that callers of a route allow below which a
   * request's own shows that its caller has come before.
   */
  RETURNED_LIMIT_SHARE: 0.98,
} as const;
