/** Timeouts and factors for token loans and for requests waiting for tokens. */
export const LIMIT_TIMES = {
  /** Maximum time that a request waits for a token. */
  MAX_WAIT_MS: 500,
  /** Maximum validity of a granted token. */
  MAX_LOAN_MS: 300,
  /** Validity of a granted token while the round trip is unknown. */
  INITIAL_LOAN_MS: 100,
  /** Minimum validity of a granted token, regardless of the round trip. */
  MIN_LOAN_MS: 30,
  /** Validity of a granted token, in round trips to its lender. */
  LOAN_ROUND_TRIPS: 4,
  /** How long a peer that did not answer or can't lend is not asked again. */
  UNRESPONSIVE_PEER_MS: 2_000,
  /** Maximum relative difference in rate between two clocks. */
  CLOCK_DRIFT: 0.02,
  /** Tolerance for rounding errors in token counts. */
  EPSILON: 1e-9,
} as const;
