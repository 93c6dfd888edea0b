/** Times and factors of loans and of the wait for tokens. */
export const LIMIT_TIMES = {
  /** Longest wait of a request for a token. */
  WAIT_MS: 500,
  /** Longest validity of a granted token. */
  LOAN_MS: 300,
  /** Validity of a granted token while the round trip is unknown. */
  FIRST_LOAN_MS: 100,
  /** Shortest validity of a granted token, whatever the round trip. */
  MIN_LOAN_MS: 30,
  /** Validity of a granted token in round trips to its lender. */
  LOAN_ROUND_TRIPS: 4,
  /** How long a peer without an answer counts as lost. */
  SILENT_PEER_MS: 2_000,
  /** Largest difference in speed between two clocks. */
  CLOCK_DRIFT: 0.02,
  /** Slack for rounding of token counts. */
  EPSILON: 1e-9,
} as const;
