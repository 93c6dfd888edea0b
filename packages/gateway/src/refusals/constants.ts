/** Times and bounds of refusals. */
export const REFUSALS = {
  /** Lines a second for each code; the others are counted in the next line. */
  LINES_PER_SECOND: 10,
  /** Longest host that a line names, in characters. */
  MAX_HOST_LENGTH: 100,
  /**
   * Shortest time between two questions, in ms: it bounds what a flood of unknown
   * keys costs the store to five reads a second and instance.
   */
  QUESTION_INTERVAL_MS: 200,
  /**
   * Longest time that a refusal waits for the store's answer, in ms: the interval,
   * and as much for the answer. A caller that is to try elsewhere must hear so early.
   */
  ANSWER_WAIT_MS: 400,
  /** Time after a question without an answer in which none is waited for, in ms. */
  QUESTION_RETRY_MS: 1_000,
  /** Longest wait of a question that goes by way of a peer's watch, in ms. */
  PEER_WAIT_MS: 50,
  /** Keys and routes found missing that are remembered, and their length. */
  MAX_MISSING: 500,
  MAX_MISSING_LENGTH: 200,
} as const;
